import { isAllowed } from '../access/isAllowed.js';
import { resolvePrincipal } from '../access/resolvePrincipal.js';
import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { Refusal } from '../Refusal.js';
import { createRefusal } from '../createRefusal.js';
import type { State } from '../State.js';
import { requestGrant } from './requestGrant.js';
import { countRequest } from './countRequest.js';
import type { Exchange } from './Exchange.js';
import { refuseExchange } from './refuseExchange.js';

const findRefusal = (state: State, event: EventOf<'callerRequested'>): Refusal | null => {
  if (state.membership.listenerClosed) return createRefusal('shutting-down', 'not-run', 1000);
  if ((state.settings.inForce?.version ?? -1) < 0)
    return createRefusal('no-settings', 'not-run', 1000);
  const principal = resolvePrincipal(state, event.tokenHash);
  if (!principal) return createRefusal('unauthorized');
  if (!state.settings.teamByWorkspace.has(event.workspace))
    return createRefusal('unknown-workspace');
  const target = { kind: 'workspace', workspace: event.workspace } as const;
  return isAllowed(state, principal, target) ? null : createRefusal('forbidden');
};

const createExchange = (event: EventOf<'callerRequested'>): Exchange => ({
  requestId: event.requestId,
  workspace: event.workspace,
  requestClass: event.requestClass,
  idempotent: event.idempotent,
  ...(event.idempotencyKey === undefined ? {} : { idempotencyKey: event.idempotencyKey }),
  replayable: event.replayable,
  deadlineAt: event.at + event.timeoutMs,
  phase: 'unassigned',
  attempt: 0,
  scheduler: null,
  grantRequestedAt: event.at,
  workerId: null,
  dispatchedAt: event.at,
  status: null,
  mayHaveRun: false,
  avoidedWorkers: [],
});

/** Accepts a caller's request and requests a grant for it, or refuses it. */
export const handleCallerRequested = (
  state: State,
  event: EventOf<'callerRequested'>,
): Effect[] => {
  const refusal = findRefusal(state, event);
  if (refusal) return refuseExchange(state, event.requestId, refusal);
  countRequest(state, event.at);
  const exchange = createExchange(event);
  state.requests.exchanges.set(event.requestId, exchange);
  const { requestId, workspace, requestClass, idempotent } = exchange;
  return [
    {
      type: 'log',
      level: 'debug',
      code: 'request_received',
      fields: { requestId, workspace, requestClass, idempotent },
    },
    ...requestGrant(state, exchange, event.at),
  ];
};
