import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import type { Pass } from './Pass.js';
import type { Unit } from './Unit.js';

/** A guaranteed unit that has no room, and what decides how it gets some. */
export interface ReclaimRequest {
  term: Term;
  pass: Pass;
  unit: Unit;
  /** Jobs whose runs are not stopped for others. */
  guaranteed: Set<string>;
  now: Now;
}
