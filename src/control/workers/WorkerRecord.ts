import type { WorkerEntry } from './WorkerEntry.js';

/** A change in the registry of workers; `entry` is null once the worker left or missed heartbeats. */
export interface WorkerRecord {
  type: 'worker';
  id: string;
  entry: WorkerEntry | null;
}
