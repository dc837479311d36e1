import type { FakeRun } from './FakeRun.js';

/** The runs of a gang that were started under one number. */
export interface FakeGang {
  size: number;
  members: FakeRun[];
  /** A member has ended, so that the others have too. */
  ended: boolean;
}
