import type { Effect } from '../Effect.js';
import type { HandlerTable } from '../HandlerTable.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import { isCaughtUp } from '../streams/isCaughtUp.js';
import { answerStoredCancels } from './answerStoredCancels.js';
import type { CallerAppend } from './CallerAppend.js';
import { describeJournalView } from './describeJournalView.js';
import { handleCallerAppendFailure } from './handleCallerAppendFailure.js';
import { handleCallerAppendSuccess } from './handleCallerAppendSuccess.js';
import { handleRequest } from './handleRequest.js';
import { hasTimeLeft } from './hasTimeLeft.js';
import { refuseOverdueRequests } from './refuseOverdueRequests.js';
import { removeCallerAppend } from './removeCallerAppend.js';
import { sendCallerAppend } from './sendCallerAppend.js';

const tickAppend = (state: State, append: CallerAppend, now: Now): Effect[] => {
  const effects = refuseOverdueRequests(state, append, now);
  if (append.requestIds.length === 0) {
    removeCallerAppend(state, append);
    return effects;
  }
  const isRetryDue = append.nextAttemptAt !== null && now.at >= append.nextAttemptAt;
  return isRetryDue ? [...effects, ...sendCallerAppend(state, append)] : effects;
};

const updateReadiness = (state: State, now: Now): Effect[] => {
  const ready =
    state.config !== null && state.shutdownAt === null && isCaughtUp(state, 'journal', now);
  if (ready === state.callers.ready) return [];
  state.callers.ready = ready;
  const fields = {
    ready,
    configVersion: state.config?.version ?? null,
    shutdown: state.shutdownAt !== null,
    ...describeJournalView(state, now.at),
  };
  return [
    { type: 'setReady', ready },
    { type: 'log', level: 'info', code: 'readiness_changed', fields },
  ];
};

/** Serve the requests of callers and report readiness. */
export const callersHandlers: HandlerTable = {
  callerRequested: (state, event) => handleRequest(state, event.request, event),
  appended: (state, event) => {
    const append = state.callers.appendsById.get(event.appendId);
    return append ? handleCallerAppendSuccess(state, append, event.offset, event) : [];
  },
  appendFailed: (state, event) => {
    const append = state.callers.appendsById.get(event.appendId);
    return append ? handleCallerAppendFailure(state, append, event.reason, event) : [];
  },
  tick: (state, event) => [
    ...[...state.callers.appendsByKey.values()].flatMap((append) =>
      tickAppend(state, append, event),
    ),
    ...answerStoredCancels(state, (request) => hasTimeLeft(request, event), event),
    ...updateReadiness(state, event),
  ],
  streamRead: (state, event) => answerStoredCancels(state, () => true, event),
  shutdownRequested: (state, event) => updateReadiness(state, event),
  pageRead: (state, event) => updateReadiness(state, event),
};
