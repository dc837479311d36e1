import { reduce } from '../../src/core/reduce.js';
import type { State } from '../../src/core/State.js';
import type { WorkerReport } from '../../src/core/ownership/WorkerReport.js';
import { fixedTime } from './fixedTime.js';

/** Applies one answer to a lease renewal for each report. */
export const answerRenewals = (state: State, reports: ReadonlyMap<string, WorkerReport>): void =>
  reports.forEach((report, workerId) => {
    reduce(state, {
      type: 'leaseAnswered',
      workerId,
      purpose: 'renew',
      sentAt: fixedTime.at,
      report,
      ...fixedTime,
    });
  });
