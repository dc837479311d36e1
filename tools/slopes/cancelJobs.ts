import { reduce } from '../../src/core/reduce.js';
import type { State } from '../../src/core/State.js';
import { fixedTime } from './fixedTime.js';

/** Cancels jobs; with `answerStops` their workers then answer every stop call. */
export const cancelJobs = (state: State, ids: readonly string[], answerStops: boolean): void =>
  ids.forEach((jobId) => {
    const job = state.jobs.jobs.get(jobId)!;
    const command = { kind: 'cancelJob', workspace: job.workspace, jobId } as const;
    const from = 'vm-000/gateway';
    reduce(state, { type: 'command', requestId: `c-${jobId}`, command, from, ...fixedTime });
    if (!answerStops) return;
    job.parts.forEach(({ workerId, taskId }) => {
      const stop = { workerId, taskId, call: 'stopTask', accepted: true } as const;
      reduce(state, { type: 'taskAnswered', ...stop, ...fixedTime });
    });
  });
