import type { HttpEffect } from '../shared/HttpEffect.js';
import type { StandInHandlers } from '../shared/StandInHandlers.js';
import type { Timed } from '../shared/Timed.js';
import { listRuns } from './listRuns.js';
import { settleRuns } from './settleRuns.js';
import type { TaskWorkerEvent } from './TaskWorkerEvent.js';
import type { TaskWorkerState } from './TaskWorkerState.js';

// Longest lease that the worker grants.
const maxLeaseMs = 6000;

const getClock = ({ bootAt }: TaskWorkerState, at: number): number => Math.floor(at - bootAt);

const answer = (requestId: string, status: number, body: unknown): HttpEffect => ({
  type: 'answer',
  requestId,
  status,
  body,
});

const isFenced = (state: TaskWorkerState, token: number): boolean => {
  if (token < state.token) return true;
  state.token = token;
  return false;
};

const renewLease = (state: TaskWorkerState, until: number, at: number): void => {
  const latest = getClock(state, at) + maxLeaseMs;
  state.leaseUntil = Math.max(state.leaseUntil, Math.min(until, latest));
};

const answerHolds = (state: TaskWorkerState, at: number): HttpEffect[] => {
  const isDue = ({ lastSeen, dueAt }: TaskWorkerState['holds'][number]): boolean =>
    dueAt <= at || state.lastEnd > lastSeen;
  const due = state.holds.filter(isDue);
  state.holds = state.holds.filter((hold) => !isDue(hold));
  return due.map(({ requestId }) => answer(requestId, 200, listRuns(state, at)));
};

const findRefusal = (
  state: TaskWorkerState,
  event: Timed<Extract<TaskWorkerEvent, { type: 'startRequested' }>>,
): string | null => {
  if (event.until < getClock(state, event.at)) return 'late';
  if ((state.over.get(event.task) ?? 0) >= event.run) return 'old';
  const known = state.runs.find(({ task, endedAt }) => task === event.task && endedAt === null);
  return known && known.run !== event.run ? 'old' : null;
};

/** The spec of a job of the soak: how long its tasks run, and their accelerators. */
const readSpec = (spec: string): { runMs: number; gpu: number } => {
  const [runMs = 0, gpu = 0] = spec.split('/').map(Number);
  return { runMs, gpu };
};

/** Handlers of the worker. */
export const taskWorkerHandlers: StandInHandlers<TaskWorkerState, TaskWorkerEvent, HttpEffect> = {
  startRequested: (state, event) => {
    const { requestId, token, task, run, spec, until, at } = event;
    settleRuns(state, at);
    const body = { clock_ms: getClock(state, at) };
    if (isFenced(state, token)) return [answer(requestId, 409, { ...body, reason: 'fence' })];
    const reason = findRefusal(state, event);
    if (reason) return [answer(requestId, 409, { ...body, reason })];
    renewLease(state, until, at);
    if (!state.runs.some((known) => known.task === task && known.endedAt === null)) {
      const { runMs, gpu } = readSpec(spec);
      state.runs.push({
        task,
        run,
        startedAt: at,
        dueAt: at + runMs,
        endedAt: null,
        kind: null,
        gpu,
        number: 0,
        noted: false,
        lapsedSince: false,
      });
    }
    return [answer(requestId, 200, body)];
  },

  stopRequested: (state, { requestId, token, task, run, at }) => {
    const body = { clock_ms: getClock(state, at) };
    if (isFenced(state, token)) return [answer(requestId, 409, { ...body, reason: 'fence' })];
    settleRuns(state, at, { task, run });
    state.over.set(task, Math.max(run, state.over.get(task) ?? 0));
    return [answer(requestId, 200, body), ...answerHolds(state, at)];
  },

  holdRequested: (state, { requestId, token, until, lastSeen, waitMs, at }) => {
    settleRuns(state, at);
    const body = { clock_ms: getClock(state, at) };
    if (isFenced(state, token)) return [answer(requestId, 409, { ...body, reason: 'fence' })];
    if (until !== null) renewLease(state, until, at);
    state.runs.forEach((run) => {
      if (run.number > 0 && run.number <= lastSeen) run.noted = true;
    });
    const known = Math.max(
      lastSeen,
      0,
      ...state.runs.filter(({ noted }) => noted).map((run) => run.number),
    );
    state.holds.push({ requestId, lastSeen: known, dueAt: at + waitMs });
    return answerHolds(state, at);
  },

  journalRequested: (state, { requestId, at }) => {
    settleRuns(state, at);
    return [answer(requestId, 200, { id: state.id, runs: state.runs })];
  },

  faultsRequested: (state, { requestId, failing }) => {
    state.failing = failing;
    return [answer(requestId, 200, { failing })];
  },

  tick: (state, { at }) => {
    settleRuns(state, at);
    return answerHolds(state, at);
  },
};
