import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import { countHeldWorkers } from '../ownership/countHeldWorkers.js';
import type { Refusal } from '../Refusal.js';
import { createRefusal } from '../createRefusal.js';
import type { State } from '../State.js';
import { grantFreeSlots } from './grantFreeSlots.js';
import { claimKey } from './claimKey.js';
import { enqueueRequest } from './enqueueRequest.js';
import { buildKeyId } from './buildKeyId.js';
import { refuseRequest } from './refuseRequest.js';
import type { WaitingRequest } from './WaitingRequest.js';

const queueFullRetryMs = 1000;

const findRefusal = (state: State, event: EventOf<'grantRequest'>): Refusal | null => {
  if (state.membership.drainingSince !== null) return createRefusal('shutting-down');
  const team = state.settings.teamByWorkspace.get(event.workspace);
  const workspace = state.settings.inForce?.tree.teams[team ?? '']?.workspaces[event.workspace];
  if (!workspace) return createRefusal('unknown-workspace');
  if (countHeldWorkers(state, event.at) === 0) return createRefusal('not-holder');
  const queueLength = state.routing.queuesByWorkspace.get(event.workspace)?.length ?? 0;
  return queueLength >= workspace.maxQueuedRequests
    ? createRefusal('queue-full', 'not-run', queueFullRetryMs)
    : null;
};

const buildWaitingRequest = (event: EventOf<'grantRequest'>): WaitingRequest => ({
  requestId: event.requestId,
  attempt: event.attempt,
  gateway: event.from,
  workspace: event.workspace,
  requestClass: event.requestClass,
  enqueuedAt: event.at,
  deadlineAt: event.at + event.timeoutMs,
  avoid: event.avoid,
  ...(event.idempotencyKey === undefined || event.idempotent
    ? {}
    : { keyId: buildKeyId(event.workspace, event.idempotencyKey) }),
});

/** Queues a grant request and grants free slots, or refuses it. */
export const handleGrantRequest = (state: State, event: EventOf<'grantRequest'>): Effect[] => {
  const request = buildWaitingRequest(event);
  const refusal = findRefusal(state, event);
  if (refusal) return refuseRequest(request, refusal);
  if (request.keyId !== undefined) return claimKey(state, request, request.keyId, event.at);
  enqueueRequest(state, request);
  return grantFreeSlots(state, event.at);
};
