import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import { chooseWorker } from './chooseWorker.js';
import { findNextRequest } from './findNextRequest.js';
import { getWorkerLoad } from './getWorkerLoad.js';
import { dequeueRequest } from './dequeueRequest.js';
import type { WaitingRequest } from './WaitingRequest.js';

const grantSlot = (
  state: State,
  request: WaitingRequest,
  workerId: string,
  at: number,
): Effect[] => {
  const attemptId = `${request.requestId}.${request.attempt}`;
  const worker = state.settings.inForce?.tree.zones[state.self.zone]?.workers[workerId];
  if (!worker) return [];
  getWorkerLoad(state, workerId).grantedAttempts.add(attemptId);
  state.routing.grants.set(attemptId, {
    attemptId,
    requestId: request.requestId,
    gateway: request.gateway,
    workerId,
    workspace: request.workspace,
    requestClass: request.requestClass,
    grantedAt: at,
    ...(request.keyId === undefined ? {} : { keyId: request.keyId }),
    gatewayLostAt: null,
  });
  return [
    {
      type: 'send',
      to: request.gateway,
      message: {
        type: 'grant',
        requestId: request.requestId,
        attemptId,
        workerId,
        url: worker.url,
        waitedMs: at - request.enqueuedAt,
        startWithinMs: state.timing.grantStartMs,
      },
    },
    {
      type: 'log',
      level: 'debug',
      code: 'request_granted',
      fields: {
        requestId: request.requestId,
        attemptId,
        workerId,
        waitedMs: at - request.enqueuedAt,
      },
    },
  ];
};

/** Grants free slots to waiting requests until no slot or no request is left. */
export const grantFreeSlots = (state: State, at: number): Effect[] => {
  if (state.membership.drainingSince !== null) return [];
  const effects: Effect[] = [];
  for (let next = findNextRequest(state, at); next; next = findNextRequest(state, at)) {
    const workerId = chooseWorker(state, next, at);
    // Without a worker, the request stays first in its queue and its workspace is not charged.
    if (workerId === null) break;
    dequeueRequest(state, next, at);
    effects.push(...grantSlot(state, next, workerId, at));
  }
  return effects;
};
