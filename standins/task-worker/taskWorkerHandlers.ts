import type { HttpEffect } from '../shared/HttpEffect.js';
import type { StandInHandlers } from '../shared/StandInHandlers.js';
import type { Timed } from '../shared/Timed.js';
import { listRuns } from './listRuns.js';
import { endDueRuns } from './endDueRuns.js';
import type { TaskWorkerEvent } from './TaskWorkerEvent.js';
import type { TaskWorkerState } from './TaskWorkerState.js';

// Maximum lease that the worker grants.
const maxLeaseMs = 6000;

const computeClockMs = ({ bootAt }: TaskWorkerState, at: number): number => Math.floor(at - bootAt);

const buildAnswer = (requestId: string, status: number, body: unknown): HttpEffect => ({
  type: 'answer',
  requestId,
  status,
  body,
});

const isFenced = (state: TaskWorkerState, token: number): boolean => {
  if (token < state.highestToken) return true;
  state.highestToken = token;
  return false;
};

const renewLease = (state: TaskWorkerState, expiresAt: number, at: number): void => {
  const latestExpiryMs = computeClockMs(state, at) + maxLeaseMs;
  state.leaseExpiryMs = Math.max(state.leaseExpiryMs, Math.min(expiresAt, latestExpiryMs));
};

const answerHolds = (state: TaskWorkerState, at: number): HttpEffect[] => {
  const isDue = ({ lastSeen, dueAt }: TaskWorkerState['pendingHolds'][number]): boolean =>
    dueAt <= at || state.lastEndNumber > lastSeen;
  const dueHolds = state.pendingHolds.filter(isDue);
  state.pendingHolds = state.pendingHolds.filter((hold) => !isDue(hold));
  return dueHolds.map(({ requestId }) => buildAnswer(requestId, 200, listRuns(state, at)));
};

const findRefusalReason = (
  state: TaskWorkerState,
  event: Timed<Extract<TaskWorkerEvent, { type: 'startRequested' }>>,
): string | null => {
  if (event.expiresAt < computeClockMs(state, event.at)) return 'late';
  if ((state.endedRunByTask.get(event.task) ?? 0) >= event.run) return 'old';
  const currentRun = state.runs.find(
    ({ task, endedAt }) => task === event.task && endedAt === null,
  );
  return currentRun && currentRun.run !== event.run ? 'old' : null;
};

/** Parses the spec of a soak job: the run time and the accelerators of its tasks. */
const parseSpec = (spec: string): { runMs: number; gpu: number } => {
  const [runMs = 0, gpu = 0] = spec.split('/').map(Number);
  return { runMs, gpu };
};

/** Handlers of the worker, by event type. */
export const taskWorkerHandlers: StandInHandlers<TaskWorkerState, TaskWorkerEvent, HttpEffect> = {
  startRequested: (state, event) => {
    const { requestId, token, task, run, spec, expiresAt, at } = event;
    endDueRuns(state, at);
    const body = { clock_ms: computeClockMs(state, at) };
    if (isFenced(state, token)) return [buildAnswer(requestId, 409, { ...body, reason: 'fence' })];
    const reason = findRefusalReason(state, event);
    if (reason) return [buildAnswer(requestId, 409, { ...body, reason })];
    renewLease(state, expiresAt, at);
    if (!state.runs.some((other) => other.task === task && other.endedAt === null)) {
      const { runMs, gpu } = parseSpec(spec);
      state.runs.push({
        task,
        run,
        token,
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
    return [buildAnswer(requestId, 200, body)];
  },

  stopRequested: (state, { requestId, token, task, run, at }) => {
    const body = { clock_ms: computeClockMs(state, at) };
    if (isFenced(state, token)) return [buildAnswer(requestId, 409, { ...body, reason: 'fence' })];
    endDueRuns(state, at, { task, run });
    state.endedRunByTask.set(task, Math.max(run, state.endedRunByTask.get(task) ?? 0));
    return [buildAnswer(requestId, 200, body), ...answerHolds(state, at)];
  },

  holdRequested: (state, { requestId, token, expiresAt, lastSeen, waitMs, at }) => {
    endDueRuns(state, at);
    const body = { clock_ms: computeClockMs(state, at) };
    if (isFenced(state, token)) return [buildAnswer(requestId, 409, { ...body, reason: 'fence' })];
    if (expiresAt !== null) renewLease(state, expiresAt, at);
    state.runs.forEach((run) => {
      if (run.number > 0 && run.number <= lastSeen) run.noted = true;
    });
    // An end that was acknowledged by an earlier call is not listed, so it does not end the wait.
    const lastAcknowledged = Math.max(
      lastSeen,
      0,
      ...state.runs.filter(({ noted }) => noted).map((run) => run.number),
    );
    state.pendingHolds.push({ requestId, lastSeen: lastAcknowledged, dueAt: at + waitMs });
    return answerHolds(state, at);
  },

  journalRequested: (state, { requestId, at }) => {
    endDueRuns(state, at);
    return [buildAnswer(requestId, 200, { id: state.id, runs: state.runs })];
  },

  faultsRequested: (state, { requestId, failing }) => {
    state.failing = failing;
    return [buildAnswer(requestId, 200, { failing })];
  },

  tick: (state, { at }) => {
    endDueRuns(state, at);
    return answerHolds(state, at);
  },
};
