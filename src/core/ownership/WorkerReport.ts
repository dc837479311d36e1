import type { TaskReport } from './TaskReport.js';

/** Answer of a worker to a lease call; `lastRenewal` describes the time before this call. */
export interface WorkerReport {
  /** Changes when the worker's process restarts. */
  incarnation: string;
  leaving: boolean;
  lastRenewal: {
    /** Null when nobody has renewed since the worker's process started. */
    holder: string | null;
    /** Time since the last renewal, or since the process started. */
    ageMs: number;
    /** Whether the holder gave the lease back. */
    released: boolean;
  };
  tasks: TaskReport[];
  /** Attempt ids of the short requests being served. */
  activeRequests: string[];
}
