import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import type { PlacementPass } from './PlacementPass.js';
import type { PlacementUnit } from './PlacementUnit.js';

/** A guaranteed unit that does not fit, and the context for planning a preemption. */
export interface PreemptionRequest {
  term: Term;
  pass: PlacementPass;
  unit: PlacementUnit;
  /** IDs of the jobs whose runs must not be preempted. */
  guaranteedJobIds: Set<string>;
  now: Now;
}
