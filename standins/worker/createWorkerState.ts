import type { BackendState } from './BackendState.js';

/** Creates a backend server that has just started. */
export const createBackendState = (
  options: Pick<
    BackendState,
    'id' | 'incarnation' | 'slots' | 'accelerators' | 'speed' | 'usageLagMs'
  >,
  at: number,
): BackendState => ({
  ...options,
  lastRenewal: { holder: null, at, released: false },
  tasks: new Map(),
  requests: new Map(),
  usage: [],
  journal: [],
  droppedConnections: 0,
  progressAt: at,
  faults: {
    failEverything: false,
    slowFactor: 1,
    leaving: false,
    hangCheckpoint: false,
    truncateAnswers: false,
    resetRequests: false,
    controlDelayMs: 0,
  },
});
