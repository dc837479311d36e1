import type { Effect } from '../Effect.js';
import { isLead } from '../ownership/isLead.js';
import type { Refusal } from '../Refusal.js';
import { createRefusal } from '../createRefusal.js';
import { replicateChanges } from '../replication/replicateChanges.js';
import type { State } from '../State.js';
import type { KeyRecord } from './KeyRecord.js';
import { resolveKeyClaims } from './resolveKeyClaims.js';
import { refuseRequest } from './refuseRequest.js';
import type { WaitingRequest } from './WaitingRequest.js';

const refusalByKeyState: Record<KeyRecord['state'], Refusal> = {
  running: createRefusal('key-in-progress', 'unknown', 1000),
  finished: createRefusal('key-already-used', 'unknown'),
  unknown: createRefusal('outcome-unknown', 'unknown'),
};

const findRefusal = (state: State, request: WaitingRequest, keyId: string, at: number) => {
  if (!isLead(state, at)) return createRefusal('no-lead', 'not-run', 1000);
  if (at < state.routing.keysRefusedUntil) return createRefusal('key-memory-lost', 'unknown');
  const keyRecord = state.routing.keys.get(keyId);
  // A gateway requests another grant for a keyed request only if its earlier attempt was not sent.
  return keyRecord && keyRecord.requestId !== request.requestId
    ? refusalByKeyState[keyRecord.state]
    : null;
};

/**
 * Claims an idempotency key for a request. The grant waits until the zone's other schedulers have
 * acknowledged the claim, so that a later lead refuses the key.
 */
export const claimKey = (
  state: State,
  request: WaitingRequest,
  keyId: string,
  at: number,
): Effect[] => {
  const refusal = findRefusal(state, request, keyId, at);
  if (refusal) return refuseRequest(request, refusal);
  state.routing.keys.set(keyId, {
    id: keyId,
    requestId: request.requestId,
    state: 'running',
    forgetAt: at + state.timing.keyRetentionMs,
  });
  state.replication.changedKeys.add(keyId);
  // An earlier attempt may have freed the key; the same message must not contain both changes.
  state.replication.freedKeys.delete(keyId);
  const replicationEffects = replicateChanges(state, at);
  state.routing.pendingKeyClaims.push({ request, sequence: state.replication.sequence });
  return [...replicationEffects, ...resolveKeyClaims(state, at)];
};
