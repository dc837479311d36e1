import type { StandInHandlers } from '../shared/StandInHandlers.js';
import { appendRecords } from './appendRecords.js';
import { encodeRead } from './encodeRead.js';
import { expireEntries } from './expireEntries.js';
import { listNewest } from './listNewest.js';
import { openTopic } from './openTopic.js';
import { recordHeartbeat } from './recordHeartbeat.js';
import type { StoreEffect } from './StoreEffect.js';
import type { StoreEvent } from './StoreEvent.js';
import type { StoreState } from './StoreState.js';

// Constants of a widely used linear congruential generator.
const multiplier = 1_103_515_245;
const increment = 12_345;
const modulus = 2 ** 31;

const advanceRandom = (state: StoreState): number => {
  state.randomState = (state.randomState * multiplier + increment) % modulus;
  return state.randomState / modulus;
};

/** Effects of a call during an outage, by kind of outage; null if the call is served. */
const outageHandlers: Record<
  StoreState['faults']['outage'],
  (requestId: string) => StoreEffect[] | null
> = {
  none: () => null,
  refuse: (requestId) => [{ type: 'answer', requestId, status: 503, body: {} }],
  silent: () => [],
};

/** Effects of a read that is not served, or null. */
const refuseRead = (
  { faults }: StoreState,
  { requestId, topic, address }: { requestId: string; topic: string; address: string },
): StoreEffect[] | null => {
  const { refusedReads } = faults;
  if (refusedReads?.address === address && refusedReads.topic === topic) {
    return [{ type: 'answer', requestId, status: 429, body: {} }];
  }
  return outageHandlers[faults.outage](requestId);
};

const answerJson = (
  { faults }: StoreState,
  requestId: string,
  status: number,
  body: unknown,
): StoreEffect[] => [{ type: 'answer', requestId, status, body, afterMs: faults.delayMs }];

const answerPolls = (state: StoreState, at: number): StoreEffect[] => {
  const isDue = ({ topic, fromOffset, dueAt }: StoreState['polls'][number]): boolean =>
    openTopic(state, topic).records.length > fromOffset || dueAt <= at;
  const duePolls = state.polls.filter(isDue);
  state.polls = state.polls.filter((poll) => !isDue(poll));
  return duePolls.map(({ requestId, topic, fromOffset }) => ({
    type: 'answerBytes',
    requestId,
    body: encodeRead(openTopic(state, topic).records, fromOffset),
    afterMs: state.faults.delayMs,
  }));
};

const keepEntries = ({ heartbeats }: StoreState, at: number): void =>
  heartbeats.forEach((heartbeat) => {
    heartbeat.receivedAt = at;
  });

/** Handlers of the store, by event type. */
export const storeHandlers: StandInHandlers<StoreState, StoreEvent, StoreEffect> = {
  appendRequested: (state, event) => {
    const { requestId, topic } = event;
    const outageEffects = outageHandlers[state.faults.outage](requestId);
    if (outageEffects) return outageEffects;
    const { status, body } = appendRecords(openTopic(state, topic), event);
    // An append answers only the polls that it has records for; those that are due wait for the tick.
    const pollAnswers = answerPolls(state, Number.NEGATIVE_INFINITY);
    if (advanceRandom(state) < state.faults.lostShare) return pollAnswers;
    return [...pollAnswers, ...answerJson(state, requestId, status, body)];
  },

  readRequested: (state, event) => {
    const { requestId, topic, fromOffset, waitMs, at } = event;
    const refusal = refuseRead(state, event);
    if (refusal) return refusal;
    state.polls.push({ requestId, topic, fromOffset, dueAt: at + waitMs });
    return answerPolls(state, at);
  },

  newestRequested: (state, event) => {
    const { requestId, topic, afterKey } = event;
    return (
      refuseRead(state, event) ??
      answerJson(state, requestId, 200, listNewest(openTopic(state, topic), afterKey))
    );
  },

  heartbeatReceived: (state, { requestId, key, value, at }) => {
    const outageEffects = outageHandlers[state.faults.outage](requestId);
    if (outageEffects) return outageEffects;
    recordHeartbeat(state, key, value, at);
    const pollAnswers = answerPolls(state, Number.NEGATIVE_INFINITY);
    return [...pollAnswers, ...answerJson(state, requestId, 200, {})];
  },

  faultsRequested: (state, { requestId, faults, at }) => {
    expireEntries(state, at);
    const wasPaused = state.faults.outage !== 'none' && !state.faults.entriesExpire;
    if (wasPaused) keepEntries(state, at);
    Object.assign(state.faults, faults);
    // Reads that are waiting when an outage begins stay unanswered.
    if (state.faults.outage !== 'none') state.polls = [];
    return [{ type: 'answer', requestId, status: 200, body: state.faults }];
  },

  tick: (state, { at }) => {
    expireEntries(state, at);
    return answerPolls(state, at);
  },
};
