import type { PartState } from './PartState.js';

/** One part of a gang: a task on a worker. Monotonic times are in milliseconds. */
export interface JobPart {
  index: number;
  /** `<job id>.<attempt>.<index>`; never reused. */
  taskId: string;
  workerId: string;
  state: PartState;
  /** Whether the part uses capacity guaranteed to another workspace. */
  borrowed: boolean;
  /** Monotonic time of the latest change of `state` on this VM. */
  changedAt: number;
  /** Epoch milliseconds of the first start call, after which the part may run; null before it. */
  startSentWall: number | null;
  /** Epoch milliseconds at which the part began to run; null while that is not known. */
  startedWall: number | null;
  /** Reference of the newest checkpoint taken in this attempt, or null. */
  checkpoint: string | null;
  /** Value of `checkpoint` when the latest checkpoint was requested, or null. */
  checkpointBefore: string | null;
  /** For a lost part: monotonic time at which its task lease expires; null if it has ended. */
  expiresAt: number | null;
}
