import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import type { PlacementPass } from './PlacementPass.js';
import type { PlacementUnit } from './PlacementUnit.js';

/** A guaranteed unit that has no room, and what decides how it gets some. */
export interface PreemptionRequest {
  term: Term;
  pass: PlacementPass;
  unit: PlacementUnit;
  /** Jobs whose runs are not stopped for others. */
  guaranteedJobIds: Set<string>;
  now: Now;
}
