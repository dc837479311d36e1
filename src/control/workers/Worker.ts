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
  draining: boolean;
  /** Last known address, or empty. */
  address: string;
  /** Start of the life that answered last, or 0. */
  incarnation: number;
  /** Its clock in its last listing, and this VM's monotonic time when that was taken over. */
  clock: { value: number; observedAt: number } | null;
  /** Latest lease end that it may have been given, in its clock's time. */
  leaseExpiresAt: number;
  /** Monotonic time at which it gave its last listing; before `clock.at`, if this VM was suspended. */
  lastListedAt: number;
  /** Monotonic time at which the open look was sent, or null. */
  pollSentAt: number | null;
  /** Monotonic time of the next look. */
  nextPollAt: number;
  /** Looks without an answer since the last one. */
  failedPolls: number;
  /** Last end that is written down. */
  lastPersistedEnd: number;
  /** It has not been told of `lastSeen` yet. */
  ackDue: boolean;
  /** Last end that was taken into the plans. */
  lastAppliedEnd: number;
  tasks: Map<string, Task>;
  allocated: Resources;
  /** Runs that belong to no plan, by task name, with their run numbers. */
  unplannedRuns: Map<string, number>;
  /** Logarithm of its run times over those of a usual worker. */
  logSlowdown: Estimate;
  /** Failed runs since its last success, by job. */
  failedRunsByJob: Map<string, number>;
  /** Monotonic time up to which it gets no work. */
  quarantinedUntil: number;
  /** Times that it was set aside since its last success. */
  quarantineCount: number;
}
