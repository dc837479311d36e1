import type { reduce } from '../../../src/core/reduce.js';
import type { PromiseName } from '../PromiseName.js';

/** Disables one rule of the core from outside, and names the promise that must break without it. */
export interface Mutation {
  promise: PromiseName;
  /** Runs within which the violation must be found. */
  runs: number;
  reduce: typeof reduce;
}
