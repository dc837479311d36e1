import type { FakeRun } from './FakeRun.js';

/** The runs of a gang with the same run number. */
export interface FakeGang {
  size: number;
  members: FakeRun[];
  /** Whether a member has ended, and the others with it. */
  ended: boolean;
}
