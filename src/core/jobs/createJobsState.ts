import type { JobsState } from './JobsState.js';

/** Creates an empty job table. */
export const createJobsState = (): JobsState => ({
  jobs: new Map(),
  jobsByWorkspace: new Map(),
  activeJobs: new Set(),
  queue: [],
  jobIdByTask: new Map(),
  tasksByWorker: new Map(),
  usedByWorker: new Map(),
  usedByWorkerAndWorkspace: new Map(),
  usedByWorkspace: new Map(),
  lastHeardByWorker: new Map(),
  deadlines: [],
  reclaimHolds: new Map(),
  reservation: null,
  observedRunMs: new Map(),
  failuresByWorker: new Map(),
  pendingStarts: new Map(),
  pendingSubmissions: [],
  placementDue: false,
  lastPlacementAt: -Infinity,
});
