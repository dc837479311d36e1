import type { Effect } from '../../../src/core/Effect.js';
import type { State } from '../../../src/core/State.js';
import type { UntimedEvent } from '../../../src/core/UntimedEvent.js';

/** A scheduler that holds all workers of its zone, on virtual time. */
export interface BenchScheduler {
  state: State;
  /** Decides one event; the lease calls among the effects are answered at once and left out. */
  push: (at: number, event: UntimedEvent) => Effect[];
}
