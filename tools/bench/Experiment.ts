import type { Measures } from './Measures.js';

/** One experiment: the measures of one run by policy and seed. */
export interface Experiment {
  policies: string[];
  /** Measures for which a comparison with the bound is printed, and which of them improve upwards. */
  comparedMeasures: Record<string, 'lower' | 'higher'>;
  run: (policy: string, seed: number, scale: number) => Measures;
}
