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
 * Moves keyed requests whose claim is copied into the queue, and refuses those whose deadline
 * came first or whose zone has another lead by now. O(keyed requests that wait).
 */
export const resolveKeyClaims = (state: State, at: number): Effect[] => {
  const waits = state.routing.pendingKeyClaims;
  if (waits.length === 0) return [];
  const lead = isLead(state, at);
  const copied = waits.filter((wait) => lead && isReplicated(state, wait.sequence, at));
  const refused = waits.filter(
    (wait) => !copied.includes(wait) && (!lead || at >= wait.request.deadlineAt),
  );
  state.routing.pendingKeyClaims = waits.filter(
    (wait) => !copied.includes(wait) && !refused.includes(wait),
  );
  copied.forEach((wait) => enqueueRequest(state, wait.request));
  return [
    ...refused.flatMap((wait) => {
      freeKey(state, wait.request.keyId!, wait.request.requestId);
      const refusal = lead
        ? createRefusal('not-durable')
        : createRefusal('no-lead', 'not-run', 1000);
      return refuseRequest(wait.request, refusal);
    }),
    ...grantFreeSlots(state, at),
  ];
};
