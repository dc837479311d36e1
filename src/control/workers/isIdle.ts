import type { Worker } from './Worker.js';

/** Whether the worker runs nothing and has nothing to report: its polls can be rare. */
export const isIdle = (worker: Worker): boolean =>
  worker.tasks.size === 0 &&
  worker.unplannedRuns.size === 0 &&
  worker.lastAppliedEnd === worker.lastPersistedEnd &&
  !worker.ackDue;
