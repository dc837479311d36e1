import type { RecoveryState } from './RecoveryState.js';

/** Creates the recovery state of a daemon without anything to recover. */
export const createRecoveryState = (): RecoveryState => ({
  nextQueryAt: null,
  queryId: null,
  nextQueryNumber: 1,
  pendingJobs: [],
  nextReappendAt: Infinity,
  scans: new Map(),
  nextReadNumber: 1,
});
