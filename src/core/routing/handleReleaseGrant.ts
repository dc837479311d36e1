import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { grantFreeSlots } from './grantFreeSlots.js';
import type { AttemptOutcome } from './AttemptOutcome.js';
import { freeKey } from './freeKey.js';
import { getWorkerLoad } from './getWorkerLoad.js';
import type { Grant } from './Grant.js';
import { updateServiceTimes } from './updateServiceTimes.js';
import { recordAttemptFailure } from './recordAttemptFailure.js';
import { recordAttemptSuccess } from './recordAttemptSuccess.js';

type OutcomeHandler = (state: State, grant: Grant, elapsedMs: number, at: number) => void;

const setKeyState = (state: State, grant: Grant, keyState: 'finished' | 'unknown'): void => {
  const key = grant.keyId === undefined ? undefined : state.routing.keys.get(grant.keyId);
  if (!key || key.requestId !== grant.requestId) return;
  key.state = keyState;
  state.replication.changedKeys.add(key.id);
};

const outcomeHandlers: Record<AttemptOutcome, OutcomeHandler> = {
  answered: (state, grant, elapsedMs) => {
    updateServiceTimes(state, grant, elapsedMs);
    recordAttemptSuccess(state, grant);
    setKeyState(state, grant, 'finished');
  },
  failed: (state, grant, _elapsedMs, at) => {
    recordAttemptFailure(state, grant, at);
    setKeyState(state, grant, 'finished');
  },
  'not-sent': (state, grant, _elapsedMs, at) => {
    recordAttemptFailure(state, grant, at);
    if (grant.keyId !== undefined) freeKey(state, grant.keyId, grant.requestId);
  },
  unused: (state, grant) => {
    if (grant.keyId !== undefined) freeKey(state, grant.keyId, grant.requestId);
  },
  abandoned: (state, grant) => setKeyState(state, grant, 'unknown'),
  unknown: (state, grant, _elapsedMs, at) => {
    recordAttemptFailure(state, grant, at);
    setKeyState(state, grant, 'unknown');
  },
};

/** Frees the slot of an ended attempt and updates statistics and key by its outcome. */
export const handleReleaseGrant = (state: State, event: EventOf<'releaseGrant'>): Effect[] => {
  const grant = state.routing.grants.get(event.attemptId);
  if (!grant || grant.gateway !== event.from) return [];
  state.routing.grants.delete(event.attemptId);
  getWorkerLoad(state, grant.workerId).grantedAttempts.delete(event.attemptId);
  outcomeHandlers[event.outcome](state, grant, event.elapsedMs, event.at);
  return grantFreeSlots(state, event.at);
};
