import type { Effect } from '../../../src/core/Effect.js';
import type { State } from '../../../src/core/State.js';
import type { UntimedEvent } from '../../../src/core/UntimedEvent.js';

/** A scheduler in virtual time that holds all workers of its zone. */
export interface BenchScheduler {
  state: State;
  /** Applies one event; lease calls among the effects are answered at once and not returned. */
  push: (at: number, event: UntimedEvent) => Effect[];
}
