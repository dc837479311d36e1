import type { PartState } from './PartState.js';

/** One part of a gang on one worker. */
export interface JobPart {
  index: number;
  /** `job.attempt.index`; unique for ever. */
  taskId: string;
  workerId: string;
  state: PartState;
  /** Whether the part runs on capacity guaranteed to another workspace. */
  borrowed: boolean;
  /** Monotonic time of the latest change of `state` on this VM. */
  changedAt: number;
  /** Epoch time at which the start call was sent, or null; from then on the part may run. */
  startSentWall: number | null;
  /** Epoch time since which the part is known to run, or null. */
  startedWall: number | null;
  /** Newest checkpoint taken in this attempt, or null. */
  checkpoint: string | null;
  /** The one before the checkpoint that was asked for, or null. */
  checkpointBefore: string | null;
  /** For a lost part: monotonic time at which its task lease has certainly expired; null if it is gone. */
  expiresAt: number | null;
}
