import type { Effect } from '../Effect.js';
import type { Refusal } from '../Refusal.js';
import type { WaitingRequest } from './WaitingRequest.js';

/** Refuses a request that has no grant. */
export const refuseRequest = (
  request: Pick<WaitingRequest, 'gateway' | 'requestId' | 'attempt'>,
  refusal: Refusal,
): Effect[] => [
  {
    type: 'send',
    to: request.gateway,
    message: {
      type: 'refuseGrant',
      requestId: request.requestId,
      attempt: request.attempt,
      refusal,
    },
  },
  { type: 'countRefusal', reason: refusal.reason },
];
