import type { JournalLine } from './JournalLine.js';
import type { ShortRequest } from './ShortRequest.js';
import type { UsageLine } from './UsageLine.js';
import type { WorkerFaults } from './WorkerFaults.js';
import type { WorkerTask } from './WorkerTask.js';

/** State of a backend server. */
export interface WorkerState {
  id: string;
  incarnation: string;
  /** Short requests that it serves at full speed. */
  slots: number;
  accelerators: number;
  /** Work done per time without overload; 1 for a typical worker. */
  speed: number;
  /** Time from a task's end until the usage report shows it. */
  usageLagMs: number;
  /** Last renewal of the worker's lease, at a monotonic time; `holder` is null before the first. */
  lastRenewal: { holder: string | null; at: number; released: boolean };
  tasks: Map<string, WorkerTask>;
  requests: Map<string, ShortRequest>;
  /** Usage lines with the monotonic time of the task's end. */
  usage: { at: number; line: UsageLine }[];
  /** What actually ran, for tests. */
  journal: JournalLine[];
  /** Number of connections refused beyond the server's limit. */
  droppedConnections: number;
  /** Monotonic time up to which progress has been applied. */
  progressAt: number;
  faults: WorkerFaults;
}
