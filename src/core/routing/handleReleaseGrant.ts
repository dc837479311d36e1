import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { assignWaiting } from './assignWaiting.js';
import type { AttemptOutcome } from './AttemptOutcome.js';
import { freeKey } from './freeKey.js';
import { getWorkerLoad } from './getWorkerLoad.js';
import type { Grant } from './Grant.js';
import { learnServiceTime } from './learnServiceTime.js';
import { noteAttemptFailure } from './noteAttemptFailure.js';
import { noteAttemptSuccess } from './noteAttemptSuccess.js';

type OutcomeHandler = (state: State, grant: Grant, elapsedMs: number, at: number) => void;

const setKeyState = (state: State, grant: Grant, keyState: 'finished' | 'unknown'): void => {
  const key = grant.keyId === undefined ? undefined : state.routing.keys.get(grant.keyId);
  if (!key || key.requestId !== grant.requestId) return;
  key.state = keyState;
  state.replication.changedKeys.add(key.id);
};

const outcomeHandlers: Record<AttemptOutcome, OutcomeHandler> = {
  answered: (state, grant, elapsedMs) => {
    learnServiceTime(state, grant, elapsedMs);
    noteAttemptSuccess(state, grant);
    setKeyState(state, grant, 'finished');
  },
  failed: (state, grant, _elapsedMs, at) => {
    noteAttemptFailure(state, grant, at);
    setKeyState(state, grant, 'finished');
  },
  'not-sent': (state, grant, _elapsedMs, at) => {
    noteAttemptFailure(state, grant, at);
    if (grant.keyId !== undefined) freeKey(state, grant.keyId, grant.requestId);
  },
  unused: (state, grant) => {
    if (grant.keyId !== undefined) freeKey(state, grant.keyId, grant.requestId);
  },
  abandoned: (state, grant) => setKeyState(state, grant, 'unknown'),
  unknown: (state, grant, _elapsedMs, at) => {
    noteAttemptFailure(state, grant, at);
    setKeyState(state, grant, 'unknown');
  },
};

/** Takes a slot back and learns from how the attempt ended. */
export const handleReleaseGrant = (state: State, event: EventOf<'releaseGrant'>): Effect[] => {
  const grant = state.routing.grants.get(event.attemptId);
  if (!grant || grant.gateway !== event.from) return [];
  state.routing.grants.delete(event.attemptId);
  getWorkerLoad(state, grant.workerId).grants.delete(event.attemptId);
  outcomeHandlers[event.outcome](state, grant, event.elapsedMs, event.at);
  return assignWaiting(state, event.at);
};
