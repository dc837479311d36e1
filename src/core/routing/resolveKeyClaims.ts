import type { Effect } from '../Effect.js';
import { isLead } from '../ownership/isLead.js';
import { createRefusal } from '../createRefusal.js';
import { isReplicated } from '../replication/isReplicated.js';
import type { State } from '../State.js';
import { grantFreeSlots } from './grantFreeSlots.js';
import { enqueueRequest } from './enqueueRequest.js';
import { freeKey } from './freeKey.js';
import { refuseRequest } from './refuseRequest.js';

/**
 * Enqueues keyed requests whose key claim is replicated; refuses those whose deadline has passed,
 * and all of them if this scheduler is no longer lead. O(pending key claims).
 */
export const resolveKeyClaims = (state: State, at: number): Effect[] => {
  const claims = state.routing.pendingKeyClaims;
  if (claims.length === 0) return [];
  const lead = isLead(state, at);
  const replicated = claims.filter((claim) => lead && isReplicated(state, claim.sequence, at));
  const refused = claims.filter(
    (claim) => !replicated.includes(claim) && (!lead || at >= claim.request.deadlineAt),
  );
  state.routing.pendingKeyClaims = claims.filter(
    (claim) => !replicated.includes(claim) && !refused.includes(claim),
  );
  replicated.forEach((claim) => enqueueRequest(state, claim.request));
  return [
    ...refused.flatMap((claim) => {
      freeKey(state, claim.request.keyId!, claim.request.requestId);
      const refusal = lead
        ? createRefusal('not-durable')
        : createRefusal('no-lead', 'not-run', 1000);
      return refuseRequest(claim.request, refusal);
    }),
    ...grantFreeSlots(state, at),
  ];
};
