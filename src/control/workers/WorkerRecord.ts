import type { WorkerEntry } from './WorkerEntry.js';

/** A change in the workers' registry; without an entry the worker has left or was silent. */
export interface WorkerRecord {
  type: 'worker';
  id: string;
  entry: WorkerEntry | null;
}
