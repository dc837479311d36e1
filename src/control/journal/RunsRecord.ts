import type { JobProgress } from '../jobs/JobProgress.js';
import type { WorkerSpeed } from '../workers/WorkerSpeed.js';
import type { UsageTotal } from '../usage/UsageTotal.js';
import type { JournalRecord } from './JournalRecord.js';

/** A record of the runs' stream, which only a new lead reads; of equal keys only the newest is kept. */
export type RunsRecord =
  | { type: 'progress'; id: string; progress: JobProgress }
  | { type: 'speeds'; speeds: WorkerSpeed[] }
  | { type: 'usage'; total: UsageTotal }
  | Extract<JournalRecord, { type: 'lead' | 'dropped' }>;
