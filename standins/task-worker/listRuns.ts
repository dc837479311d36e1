import type { TaskWorkerState } from './TaskWorkerState.js';

const fullPercent = 100;

/** Builds the answer to a hold call: the runs in progress and the unacknowledged ends. */
export const listRuns = (state: TaskWorkerState, at: number): Record<string, unknown> => ({
  clock_ms: Math.floor(at - state.bootAt),
  born: state.incarnation,
  running: state.runs
    .filter(({ endedAt }) => endedAt === null)
    .map(({ task, run, startedAt, dueAt }) => {
      const progress = (at - startedAt) / (dueAt - startedAt);
      // The empty text is the checkpoint: these tasks save none.
      return [task, run, '', Math.min(fullPercent, Math.floor(progress * fullPercent))];
    }),
  finished: state.runs
    .filter(({ endedAt, noted }) => endedAt !== null && !noted)
    .map(({ number, task, run, kind }) => [number, task, run, kind, '']),
});
