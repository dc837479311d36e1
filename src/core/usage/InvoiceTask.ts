import type { UsageRecord } from './UsageRecord.js';

type RecordOf<K extends UsageRecord['kind']> = Extract<UsageRecord, { kind: K }>;

/** Usage of one task, collected from its records. */
export interface InvoiceTask {
  jobId: string;
  taskId: string;
  accelerators: number;
  /** Epoch milliseconds of the earliest recorded start; null without one. */
  startedWall: number | null;
  /** Epoch milliseconds of the latest recorded end; null without one. */
  endedWall: number | null;
  unknownIntervals: RecordOf<'taskUnknown'>[];
  corrections: RecordOf<'correction'>[];
}
