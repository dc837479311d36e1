import type { Effect } from '../Effect.js';
import type { HandlerTable } from '../HandlerTable.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import { isFollowing } from '../streams/isFollowing.js';
import type { CallerAppend } from './CallerAppend.js';
import { failCallerAppend } from './failCallerAppend.js';
import { finishCallerAppend } from './finishCallerAppend.js';
import { giveUpAppend } from './giveUpAppend.js';
import { handleRequest } from './handleRequest.js';
import { sendCallerAppend } from './sendCallerAppend.js';

// The caller has to have the answer before it stops waiting.
const answerMarginMs = 150;

const isWaitedFor = (state: State, append: CallerAppend, now: Now): boolean =>
  append.requests.some((requestId) => {
    const open = state.callers.open.get(requestId);
    return open !== undefined && now.at < open.deadlineAt - answerMarginMs;
  });

const tickAppend = (state: State, append: CallerAppend, now: Now): Effect[] => {
  if (!isWaitedFor(state, append, now)) {
    return giveUpAppend(state, append, 'store-unanswered', now);
  }
  const due = append.retryAt !== null && now.at >= append.retryAt;
  return due ? sendCallerAppend(state, append) : [];
};

const updateReadiness = (state: State, now: Now): Effect[] => {
  const ready =
    state.config !== null && state.shutdownAt === null && isFollowing(state, 'journal', now);
  if (ready === state.callers.ready) return [];
  state.callers.ready = ready;
  const fields = {
    ready,
    configVersion: state.config?.version ?? null,
    shutdown: state.shutdownAt !== null,
    journalAgeMs: Math.round(Math.min(now.at - state.streams.journal.lastOkAt, 1e9)),
  };
  return [
    { type: 'setReady', ready },
    { type: 'log', level: 'info', code: 'readiness_changed', fields },
  ];
};

/** Serves callers. */
export const callersHandlers: HandlerTable = {
  callerRequested: (state, event) => handleRequest(state, event.request, event),
  appended: (state, event) => {
    const append = state.callers.appends.get(event.appendId);
    return append ? finishCallerAppend(state, append, event.offset, event) : [];
  },
  appendFailed: (state, event) => {
    const append = state.callers.appends.get(event.appendId);
    return append ? failCallerAppend(state, append, event.reason, event) : [];
  },
  tick: (state, event) => [
    ...[...state.callers.byJob.values()].flatMap((append) => tickAppend(state, append, event)),
    ...updateReadiness(state, event),
  ],
  shutdownRequested: (state, event) => updateReadiness(state, event),
  pageRead: (state, event) => updateReadiness(state, event),
};
