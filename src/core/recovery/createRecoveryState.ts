import type { RecoveryState } from './RecoveryState.js';

/** Creates the recovery state of a daemon that has nothing to recover. */
export const createRecoveryState = (): RecoveryState => ({
  askAt: null,
  queryId: null,
  nextQuery: 1,
  pending: [],
  nextReappendAt: Infinity,
  scans: new Map(),
  nextRead: 1,
});
