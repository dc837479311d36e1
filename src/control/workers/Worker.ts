import type { Resources } from '../Resources.js';
import type { Task } from '../plans/Task.js';
import type { Estimate } from './Estimate.js';
import type { WorkerEntry } from './WorkerEntry.js';

/** A worker as the lead sees it. */
export interface Worker {
  id: string;
  /** Its registry entry, or null when it left or is silent. */
  entry: WorkerEntry | null;
  /** Monotonic time at which its entry was seen to be removed, or null. */
  removedAt: number | null;
  /** It was listed as draining in this life. */
  leaving: boolean;
  /** Last known address, or empty. */
  address: string;
  /** Start of the life that answered last, or 0. */
  born: number;
  /** Its clock in its last listing, and this VM's monotonic time when that was taken over. */
  clock: { value: number; at: number } | null;
  /** Latest lease end that it may have been given, in its clock's time. */
  leaseUntil: number;
  /** Monotonic time at which it gave its last listing; before `clock.at`, if this VM was suspended. */
  lastListedAt: number;
  /** Monotonic time at which the open look was sent, or null. */
  holdSentAt: number | null;
  /** Monotonic time of the next look. */
  nextHoldAt: number;
  /** Looks without an answer since the last one. */
  failures: number;
  /** Last end that is written down. */
  lastSeen: number;
  /** It has not been told of `lastSeen` yet. */
  ackDue: boolean;
  /** Last end that was taken into the plans. */
  lastEnd: number;
  tasks: Map<string, Task>;
  used: Resources;
  /** Runs that belong to no plan, by task name, with their run numbers. */
  strangers: Map<string, number>;
  /** Logarithm of its run times over those of a usual worker. */
  slowness: Estimate;
  /** Failed runs since its last success, by job. */
  failedJobs: Map<string, number>;
  /** Monotonic time up to which it gets no work. */
  asideUntil: number;
  /** Times that it was set aside since its last success. */
  timesAside: number;
}
