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
}
