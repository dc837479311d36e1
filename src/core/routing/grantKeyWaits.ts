import type { Effect } from '../Effect.js';
import { isLead } from '../ownership/isLead.js';
import { refuse } from '../refuse.js';
import { isCopied } from '../replication/isCopied.js';
import type { State } from '../State.js';
import { assignWaiting } from './assignWaiting.js';
import { enqueueWaiting } from './enqueueWaiting.js';
import { freeKey } from './freeKey.js';
import { refuseWaiting } from './refuseWaiting.js';

/**
 * Moves keyed requests whose claim is copied into the queue, and refuses those whose deadline
 * came first or whose zone has another lead by now. O(keyed requests that wait).
 */
export const grantKeyWaits = (state: State, at: number): Effect[] => {
  const waits = state.routing.keyWaits;
  if (waits.length === 0) return [];
  const lead = isLead(state, at);
  const copied = waits.filter((wait) => lead && isCopied(state, wait.sequence, at));
  const refused = waits.filter(
    (wait) => !copied.includes(wait) && (!lead || at >= wait.request.deadlineAt),
  );
  state.routing.keyWaits = waits.filter(
    (wait) => !copied.includes(wait) && !refused.includes(wait),
  );
  copied.forEach((wait) => enqueueWaiting(state, wait.request));
  return [
    ...refused.flatMap((wait) => {
      freeKey(state, wait.request.keyId!, wait.request.requestId);
      const refusal = lead ? refuse('not-durable') : refuse('no-lead', 'not-run', 1000);
      return refuseWaiting(wait.request, refusal);
    }),
    ...assignWaiting(state, at),
  ];
};
