import type { JobProgress } from '../jobs/JobProgress.js';
import type { ProgressHead } from '../jobs/ProgressHead.js';
import type { TaskProgress } from '../jobs/TaskProgress.js';
import type { WorkerSpeed } from '../workers/WorkerSpeed.js';
import type { UsageTotal } from '../usage/UsageTotal.js';
import type { JournalRecord } from './JournalRecord.js';

/** A record of the `runs` stream, which only a new leader reads; the store keeps the newest of each key. */
export type RunsRecord =
  /** Progress of a job; divided progress has a head and parts beside it. */
  | { type: 'progress'; id: string; progress: JobProgress }
  | { type: 'progressHead'; id: string; head: ProgressHead }
  | { type: 'progressPart'; id: string; part: number; tasks: TaskProgress[] }
  /** Those of a large fleet take several records, numbered from 0. */
  | { type: 'speeds'; part: number; speeds: WorkerSpeed[] }
  | { type: 'usage'; total: UsageTotal }
  | Extract<JournalRecord, { type: 'lead' | 'dropped' }>;
