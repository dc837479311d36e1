import type { FakeRun } from './FakeRun.js';

/** The runs of a gang with the same run number. */
export interface FakeGang {
  /** Number of members that have to start before their work begins. */
  size: number;
  members: FakeRun[];
  /** Whether a member has ended, and the others with it. */
  ended: boolean;
}
