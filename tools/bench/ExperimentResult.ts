import type { Spread } from './Spread.js';

/** Spread of each measure, by policy and measure. */
export type ExperimentResult = Record<string, Record<string, Spread>>;
