import type { reduce } from '../../../src/core/reduce.js';
import type { PromiseName } from '../PromiseName.js';

/** A rule taken out of the core from outside, and the promise that must break without it. */
export interface Mutation {
  promise: PromiseName;
  /** Runs within which the fault must be found. */
  runs: number;
  reduce: typeof reduce;
}
