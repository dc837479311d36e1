import type { Effect } from '../Effect.js';
import type { AttemptOutcome } from '../routing/AttemptOutcome.js';
import { buildAttemptId } from './buildAttemptId.js';
import type { Exchange } from './Exchange.js';

/** Returns the slot of the current attempt to its scheduler. */
export const releaseGrant = (exchange: Exchange, outcome: AttemptOutcome, at: number): Effect[] =>
  exchange.scheduler === null
    ? []
    : [
        {
          type: 'send',
          to: exchange.scheduler,
          message: {
            type: 'releaseGrant',
            requestId: exchange.requestId,
            attemptId: buildAttemptId(exchange),
            outcome,
            elapsedMs: at - exchange.dispatchedAt,
          },
        },
      ];
