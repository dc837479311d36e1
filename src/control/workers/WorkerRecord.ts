import type { WorkerEntry } from './WorkerEntry.js';

/** A change in the registry of workers; `entry` is null once the worker left or missed heartbeats. */
export type WorkerRecord =
  | { type: 'worker'; id: string; entry: WorkerEntry | null }
  /** An entry that names no worker to use, with the field that is wrong. */
  | { type: 'invalidWorker'; id: string; field: string };
