import type { AttemptOutcome } from '../../../src/core/routing/AttemptOutcome.js';
import type { Attempt } from './Attempt.js';
import type { Decision } from './Decision.js';

/** A routing policy under test; each call returns the decisions that follow from it. */
export interface RequestPolicy {
  /** A new attempt needs a worker. */
  offer: (attempt: Attempt, at: number) => Decision[];
  /** An attempt has ended on its worker. */
  release: (
    attempt: Attempt,
    workerId: string,
    outcome: AttemptOutcome,
    elapsedMs: number,
    at: number,
  ) => Decision[];
  /** The caller of a waiting attempt has disconnected. */
  cancel: (attempt: Attempt, at: number) => Decision[];
  /** Called at a fixed interval, so that deadlines of waiting attempts are noticed. */
  tick: (at: number) => Decision[];
}
