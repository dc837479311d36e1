import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import { countHeld } from '../ownership/countHeld.js';
import type { Refusal } from '../Refusal.js';
import { refuse } from '../refuse.js';
import type { State } from '../State.js';
import { assignWaiting } from './assignWaiting.js';
import { claimKey } from './claimKey.js';
import { enqueueWaiting } from './enqueueWaiting.js';
import { getKeyId } from './getKeyId.js';
import { refuseWaiting } from './refuseWaiting.js';
import type { WaitingRequest } from './WaitingRequest.js';

const retryAfterFullQueueMs = 1000;

const findRefusal = (state: State, event: EventOf<'grantRequest'>): Refusal | null => {
  if (state.membership.drainingSince !== null) return refuse('shutting-down');
  const team = state.settings.teamByWorkspace.get(event.workspace);
  const workspace = state.settings.inForce?.tree.teams[team ?? '']?.workspaces[event.workspace];
  if (!workspace) return refuse('unknown-workspace');
  if (countHeld(state, event.at) === 0) return refuse('not-holder');
  const waiting = state.routing.queues.get(event.workspace)?.length ?? 0;
  return waiting >= workspace.maxQueuedRequests
    ? refuse('queue-full', 'not-run', retryAfterFullQueueMs)
    : null;
};

const buildWaiting = (event: EventOf<'grantRequest'>): WaitingRequest => ({
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
    : { keyId: getKeyId(event.workspace, event.idempotencyKey) }),
});

/** Queues a grant request, or refuses it early while the refusal is certainly true. */
export const handleGrantRequest = (state: State, event: EventOf<'grantRequest'>): Effect[] => {
  const request = buildWaiting(event);
  const refusal = findRefusal(state, event);
  if (refusal) return refuseWaiting(request, refusal);
  if (request.keyId !== undefined) return claimKey(state, request, request.keyId, event.at);
  enqueueWaiting(state, request);
  return assignWaiting(state, event.at);
};
