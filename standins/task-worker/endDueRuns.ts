import type { RunState } from './RunState.js';
import type { TaskWorkerState } from './TaskWorkerState.js';

/** Ends a run; it is listed as ended from now on. */
const endRun = (
  state: TaskWorkerState,
  run: RunState,
  kind: Exclude<RunState['kind'], null>,
  at: number,
): void => {
  state.lastEndNumber += 1;
  run.endedAt = at;
  run.kind = kind;
  run.number = state.lastEndNumber;
  state.endedRunByTask.set(run.task, Math.max(run.run, state.endedRunByTask.get(run.task) ?? 0));
};

/** Ends the runs that have completed or whose lease has lapsed, and the stopped run. */
export const endDueRuns = (
  state: TaskWorkerState,
  at: number,
  stopped: { task: string; run: number } | null = null,
): void => {
  const lapsesAt = state.bootAt + state.leaseExpiryMs;
  state.runs
    .filter(({ endedAt }) => endedAt === null)
    .forEach((run) => {
      if (run.dueAt <= Math.min(at, lapsesAt)) {
        endRun(state, run, state.failing ? 'failed' : 'done', run.dueAt);
      } else if (lapsesAt <= at) endRun(state, run, 'lapsed', lapsesAt);
      else if (stopped && run.task === stopped.task && run.run <= stopped.run) {
        endRun(state, run, 'stopped', at);
      }
    });
  if (lapsesAt > at) return;
  state.runs.forEach((run) => {
    if (run.endedAt !== null && !run.noted) run.lapsedSince = true;
  });
};
