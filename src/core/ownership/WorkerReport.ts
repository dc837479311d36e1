import type { TaskReport } from './TaskReport.js';

/** Answer of a worker to a lease call; `lastRenewal` describes the state before this call. */
export interface WorkerReport {
  /** Changes when the worker's process restarts. */
  incarnation: string;
  /** Whether the worker is about to shut down. */
  leaving: boolean;
  lastRenewal: {
    /** Null if no scheduler has renewed since the worker's process started. */
    holder: string | null;
    /** Milliseconds since the last renewal, or since the process started. */
    ageMs: number;
    /** Whether the holder has released the lease. */
    released: boolean;
  };
  tasks: TaskReport[];
  /** Attempt ids of the short requests being served. */
  activeRequests: string[];
}
