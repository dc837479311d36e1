import type { State } from '../../src/core/State.js';
import type { WorkerReport } from '../../src/core/ownership/WorkerReport.js';
import { createWorkerReport } from './createWorkerReport.js';

/** Creates the reports of up to `limit` workers that have tasks. */
export const createWorkerReports = (state: State, limit = Infinity): Map<string, WorkerReport> =>
  new Map(
    [...state.jobs.tasksByWorker.keys()]
      .slice(0, limit)
      .map((workerId) => [workerId, createWorkerReport(state, workerId)]),
  );
