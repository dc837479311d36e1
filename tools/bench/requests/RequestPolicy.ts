import type { AttemptOutcome } from '../../../src/core/routing/AttemptOutcome.js';
import type { Attempt } from './Attempt.js';
import type { Decision } from './Decision.js';

/** A routing policy under test. */
export interface RequestPolicy {
  offer: (attempt: Attempt, at: number) => Decision[];
  release: (
    attempt: Attempt,
    workerId: string,
    outcome: AttemptOutcome,
    elapsedMs: number,
    at: number,
  ) => Decision[];
  cancel: (attempt: Attempt, at: number) => Decision[];
  tick: (at: number) => Decision[];
}
