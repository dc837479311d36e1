import type { JobProgress } from '../jobs/JobProgress.js';
import type { WorkerSpeed } from '../workers/WorkerSpeed.js';
import type { UsageTotal } from '../usage/UsageTotal.js';
import type { JournalRecord } from './JournalRecord.js';

/** A record of the `runs` stream, which only a new leader reads; the store keeps the newest of each key. */
export type RunsRecord =
  | { type: 'progress'; id: string; progress: JobProgress }
  | { type: 'speeds'; speeds: WorkerSpeed[] }
  | { type: 'usage'; total: UsageTotal }
  | Extract<JournalRecord, { type: 'lead' | 'dropped' }>;
