import type { JobsState } from './JobsState.js';

/** Creates a job table without jobs. */
export const createJobsState = (): JobsState => ({
  jobs: new Map(),
  jobsByWorkspace: new Map(),
  activeJobs: new Set(),
  queue: [],
  jobByTask: new Map(),
  tasksByWorker: new Map(),
  acceleratorsByWorker: new Map(),
  useByWorker: new Map(),
  useByWorkspace: new Map(),
  heardByWorker: new Map(),
  deadlines: [],
  holds: new Map(),
  reservation: null,
  observedMs: new Map(),
  faultsByWorker: new Map(),
  startWaits: new Map(),
  submissionWaits: [],
  placementDue: false,
  placedAt: -Infinity,
});
