import type { WorkerState } from './WorkerState.js';

/** Creates the state of a backend server that has just started. */
export const createWorkerState = (
  options: Pick<
    WorkerState,
    'id' | 'incarnation' | 'slots' | 'accelerators' | 'speed' | 'usageLagMs'
  >,
  at: number,
): WorkerState => ({
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
