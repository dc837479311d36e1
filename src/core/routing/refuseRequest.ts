import type { Effect } from '../Effect.js';
import type { Refusal } from '../Refusal.js';
import type { WaitingRequest } from './WaitingRequest.js';

/** Builds the effects that refuse a request before it was granted. */
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
