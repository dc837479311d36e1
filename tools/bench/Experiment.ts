import type { Measures } from './Measures.js';

/** An experiment; `run` measures one policy with one seed, and a `scale` below 1 shortens the run. */
export interface Experiment {
  policies: string[];
  /** Measures that are compared with the bound, each with the direction that is better. */
  comparedMeasures: Record<string, 'lower' | 'higher'>;
  run: (policy: string, seed: number, scale: number) => Measures;
}
