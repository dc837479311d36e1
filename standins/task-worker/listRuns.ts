import type { TaskWorkerState } from './TaskWorkerState.js';

const fullPercent = 100;

/** Builds the answer to a look: what runs, and the ends that are not acknowledged. */
export const listRuns = (state: TaskWorkerState, at: number): Record<string, unknown> => ({
  clock_ms: Math.floor(at - state.bootAt),
  born: state.born,
  running: state.runs
    .filter(({ endedAt }) => endedAt === null)
    .map(({ task, run, startedAt, dueAt }) => {
      const progress = (at - startedAt) / (dueAt - startedAt);
      return [task, run, '', Math.min(fullPercent, Math.floor(progress * fullPercent))];
    }),
  finished: state.runs
    .filter(({ endedAt, noted }) => endedAt !== null && !noted)
    .map(({ number, task, run, kind }) => [number, task, run, kind, '']),
});
