import type { StandInHandlers } from '../shared/StandInHandlers.js';
import { appendRecords } from './appendRecords.js';
import { encodeRead } from './encodeRead.js';
import { listNewest } from './listNewest.js';
import { openTopic } from './openTopic.js';
import type { StoreEffect } from './StoreEffect.js';
import type { StoreEvent } from './StoreEvent.js';
import type { StoreState } from './StoreState.js';

// Constants of a common linear congruential generator.
const multiplier = 1_103_515_245;
const increment = 12_345;
const modulus = 2 ** 31;

const takeShare = (state: StoreState): number => {
  state.random = (state.random * multiplier + increment) % modulus;
  return state.random / modulus;
};

/** What an outage does to a call in place of serving it; null without an outage. */
const outageAnswers: Record<
  StoreState['faults']['outage'],
  (requestId: string) => StoreEffect[] | null
> = {
  none: () => null,
  refuse: (requestId) => [{ type: 'answer', requestId, status: 503, body: {} }],
  silent: () => [],
};

const answerJson = (
  { faults }: StoreState,
  requestId: string,
  status: number,
  body: unknown,
): StoreEffect[] => [{ type: 'answer', requestId, status, body, afterMs: faults.delayMs }];

const answerPolls = (state: StoreState, at: number): StoreEffect[] => {
  const isDue = ({ topic, from, dueAt }: StoreState['polls'][number]): boolean =>
    openTopic(state, topic).records.length > from || dueAt <= at;
  const due = state.polls.filter(isDue);
  state.polls = state.polls.filter((poll) => !isDue(poll));
  return due.map(({ requestId, topic, from }) => ({
    type: 'answerBytes',
    requestId,
    body: encodeRead(openTopic(state, topic).records, from),
    afterMs: state.faults.delayMs,
  }));
};

/** Handlers of the store. */
export const storeHandlers: StandInHandlers<StoreState, StoreEvent, StoreEffect> = {
  appendRequested: (state, event) => {
    const { requestId, topic } = event;
    const refusal = outageAnswers[state.faults.outage](requestId);
    if (refusal) return refusal;
    const { status, body } = appendRecords(openTopic(state, topic), event);
    const polls = answerPolls(state, Number.NEGATIVE_INFINITY);
    if (takeShare(state) < state.faults.lostShare) return polls;
    return [...polls, ...answerJson(state, requestId, status, body)];
  },

  readRequested: (state, event) => {
    const { requestId, topic, from, waitMs, at } = event;
    const refusal = outageAnswers[state.faults.outage](requestId);
    if (refusal) return refusal;
    state.polls.push({ requestId, topic, from, dueAt: at + waitMs });
    return answerPolls(state, at);
  },

  newestRequested: (state, { requestId, topic, after }) => {
    const refusal = outageAnswers[state.faults.outage](requestId);
    return refusal ?? answerJson(state, requestId, 200, listNewest(openTopic(state, topic), after));
  },

  faultsRequested: (state, { requestId, faults }) => {
    Object.assign(state.faults, faults);
    // What waits for a store that fell silent stays without an answer.
    if (state.faults.outage !== 'none') state.polls = [];
    return [{ type: 'answer', requestId, status: 200, body: state.faults }];
  },

  tick: (state, { at }) => answerPolls(state, at),
};
