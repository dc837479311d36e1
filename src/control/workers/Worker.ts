import type { Resources } from '../Resources.js';
import type { Task } from '../plans/Task.js';
import type { Estimate } from './Estimate.js';
import type { WorkerEntry } from './WorkerEntry.js';

/** The leader's view of a worker. */
export interface Worker {
  id: string;
  /** Its registry entry; null if there is none, because it left or misses heartbeats. */
  entry: WorkerEntry | null;
  /** Monotonic time at which the removal of its entry was read; null while it has an entry. */
  removedAt: number | null;
  /** Whether its last registry entry announced that it is draining. */
  draining: boolean;
  /** Last known address, or empty. */
  address: string;
  /** Incarnation in its last listing, or 0 before the first. */
  incarnation: number;
  /** How often a listing showed a new incarnation in this term. */
  restarts: number;
  /**
   * Its clock in its last listing, in milliseconds, and the monotonic time at which this VM handled the
   * listing; null before the first listing of an incarnation.
   */
  clock: { value: number; observedAt: number } | null;
  /** Latest expiry of any lease that it may have been granted, in its clock's milliseconds. */
  leaseExpiresAt: number;
  /**
   * Monotonic time at which it sent its last listing; earlier than `clock.observedAt` if this VM was
   * suspended, and negative infinity before the first.
   */
  lastListedAt: number;
  /** Monotonic time at which the pending poll was sent, or null. */
  pollSentAt: number | null;
  /** Monotonic time of the next poll. */
  nextPollAt: number;
  /** Consecutive failed polls. */
  failedPolls: number;
  /** Number of the last run end whose effect is persisted, or 0. */
  lastPersistedEnd: number;
  /** Whether `lastPersistedEnd` still has to be acknowledged to the worker. */
  ackDue: boolean;
  /** Number of the last run end that was applied to the plans, or 0. */
  lastAppliedEnd: number;
  /** Tasks that hold resources on it, by name. */
  tasks: Map<string, Task>;
  /** Sum of the resources that `tasks` need. */
  allocated: Resources;
  /** Run numbers of listed runs that belong to no plan, by task name. */
  unplannedRuns: Map<string, number>;
  /** Logarithm of its run times over those of a typical worker. */
  logSlowdown: Estimate;
  /** Failed runs since its last success, by job ID. */
  failedRunsByJob: Map<string, number>;
  /** Monotonic time before which it gets no new tasks. */
  quarantinedUntil: number;
  /** Quarantines after failed runs since its last success. */
  quarantineCount: number;
}
