import type { UsageRecord } from './UsageRecord.js';

type RecordOf<K extends UsageRecord['kind']> = Extract<UsageRecord, { kind: K }>;

/** All records of one task, each id once. */
export interface InvoiceTask {
  jobId: string;
  taskId: string;
  accelerators: number;
  startedWall: number | null;
  endedWall: number | null;
  unknownIntervals: RecordOf<'taskUnknown'>[];
  corrections: RecordOf<'correction'>[];
}
