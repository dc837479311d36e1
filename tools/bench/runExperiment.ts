import { computeSpread } from './computeSpread.js';
import type { Experiment } from './Experiment.js';
import type { ExperimentResult } from './ExperimentResult.js';

/** Runs each policy with every seed and computes the spread of each measure. */
export const runExperiment = (
  experiment: Experiment,
  policies: string[],
  seeds: number[],
  scale = 1,
): ExperimentResult =>
  Object.fromEntries(
    policies.map((policy) => {
      const runs = seeds.map((seed) => experiment.run(policy, seed, scale));
      const spreads = Object.keys(runs[0]!).map((name) => [
        name,
        computeSpread(runs.map((run) => run[name]!)),
      ]);
      return [policy, Object.fromEntries(spreads)];
    }),
  );
