import type { JournalLine } from './JournalLine.js';
import type { ShortRequest } from './ShortRequest.js';
import type { UsageLine } from './UsageLine.js';
import type { WorkerFaults } from './WorkerFaults.js';
import type { WorkerTask } from './WorkerTask.js';

/** State of a backend server. */
export interface WorkerState {
  id: string;
  incarnation: string;
  slots: number;
  accelerators: number;
  speed: number;
  usageLagMs: number;
  lastRenewal: { holder: string | null; at: number; released: boolean };
  tasks: Map<string, WorkerTask>;
  requests: Map<string, ShortRequest>;
  /** Usage lines with the monotonic time of the task's end. */
  usage: { at: number; line: UsageLine }[];
  journal: JournalLine[];
  droppedConnections: number;
  /** Monotonic time up to which progress has been applied. */
  progressAt: number;
  faults: WorkerFaults;
}
