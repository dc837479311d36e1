import type { HttpEffect } from '../shared/HttpEffect.js';
import type { StandInHandlers } from '../shared/StandInHandlers.js';
import type { LogServiceEvent } from './LogServiceEvent.js';
import type { LogState } from './LogState.js';
import { openStream } from './openStream.js';
import { readRecords } from './readRecords.js';
import { takeRateToken } from './takeRateToken.js';

const answerRequest = (
  state: LogState,
  requestId: string,
  status: number,
  body: unknown,
): HttpEffect => ({ type: 'answer', requestId, status, body, afterMs: state.faults.delayMs });

const answerUnavailable = (state: LogState, requestId: string) =>
  answerRequest(state, requestId, 503, { error: 'unavailable' });

const answerPolls = (state: LogState, name: string, at: number): HttpEffect[] => {
  const stream = openStream(state, name, at);
  return [...state.polls].flatMap(([requestId, poll]) => {
    if (poll.stream !== name || poll.from >= stream.nextOffset) return [];
    state.polls.delete(requestId);
    return [answerRequest(state, requestId, 200, readRecords(stream, poll.from, poll.limit))];
  });
};

/** Handlers of the log service. */
export const logHandlers: StandInHandlers<LogState, LogServiceEvent, HttpEffect> = {
  appendRequested: (state, { requestId, stream: name, records, at, wall }) => {
    if (state.faults.outage) return [answerUnavailable(state, requestId)];
    if (!takeRateToken(state, at)) {
      return [answerRequest(state, requestId, 429, { error: 'rate-limited' })];
    }
    const stream = openStream(state, name, at);
    const firstOffset = stream.nextOffset;
    records.forEach((data) => {
      stream.entries.push({ at, record: { offset: stream.nextOffset, wall, data } });
      stream.nextOffset += 1;
    });
    const losesAnswer = state.faults.loseAppendAnswers > 0;
    if (losesAnswer) state.faults.loseAppendAnswers -= 1;
    return [
      losesAnswer
        ? { type: 'destroyConnection', requestId, afterMs: state.faults.delayMs }
        : answerRequest(state, requestId, 200, { firstOffset }),
      ...answerPolls(state, name, at),
    ];
  },

  readRequested: (state, { requestId, stream: name, from, limit, waitMs, at }) => {
    if (state.faults.outage) return [answerUnavailable(state, requestId)];
    const stream = openStream(state, name, at);
    // An offset beyond the end is answered at once, so that a reader notices a restarted log.
    if (waitMs > 0 && from === stream.nextOffset) {
      state.polls.set(requestId, { stream: name, from, limit, dueAt: at + waitMs });
      return [];
    }
    return [answerRequest(state, requestId, 200, readRecords(stream, from, limit))];
  },

  faultsRequested: (state, { requestId, faults }) => {
    Object.assign(state.faults, faults);
    const failedPollIds = state.faults.outage ? [...state.polls.keys()] : [];
    failedPollIds.forEach((pollId) => state.polls.delete(pollId));
    return [
      ...failedPollIds.map((pollId) => answerUnavailable(state, pollId)),
      { type: 'answer', requestId, status: 200, body: { ...state.faults } },
    ];
  },

  tick: (state, { at }) =>
    [...state.polls].flatMap(([requestId, poll]) => {
      if (poll.dueAt > at) return [];
      state.polls.delete(requestId);
      const stream = openStream(state, poll.stream, at);
      return [answerRequest(state, requestId, 200, readRecords(stream, poll.from, poll.limit))];
    }),
};
