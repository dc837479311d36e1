import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { RefusalReason } from '../RefusalReason.js';
import type { State } from '../State.js';
import { findAttempt } from './findAttempt.js';
import { buildAttemptId } from './buildAttemptId.js';
import { refuseExchange } from './refuseExchange.js';

// Another scheduler decides now; the next tick requests a grant from it, until the deadline.
const retryReasons: ReadonlySet<RefusalReason> = new Set([
  'shutting-down',
  'not-holder',
  'no-lead',
]);

/** Refuses the caller's request, or lets it request a new grant if another scheduler took over. */
export const handleRefuseGrant = (state: State, event: EventOf<'refuseGrant'>): Effect[] => {
  const exchange = findAttempt(state, { ...event, attemptId: buildAttemptId(event) });
  if (exchange?.phase !== 'waiting') return [];
  if (!retryReasons.has(event.refusal.reason)) {
    return refuseExchange(state, event.requestId, event.refusal);
  }
  exchange.phase = 'unassigned';
  exchange.scheduler = null;
  return [{ type: 'countRetry', reason: 'lead-changed' }];
};
