import type { BoundComparison } from './BoundComparison.js';
import type { Experiment } from './Experiment.js';
import type { ExperimentResult } from './ExperimentResult.js';

// Below this relative distance, a share of the way is the quotient of two roundings.
const leastDistance = 0.005;

/**
 * Compares ours with the best baseline and the bound, the better of the oracles, on each compared
 * measure.
 */
export const compareWithBound = (
  experiment: Experiment,
  result: ExperimentResult,
): BoundComparison[] => {
  const names = Object.keys(result);
  const oracles = names.filter((name) => name.startsWith('oracle'));
  const baselines = names.filter((name) => name !== 'ours' && !oracles.includes(name));
  if (!result.ours || oracles.length === 0 || baselines.length === 0) return [];
  return Object.entries(experiment.comparedMeasures).map(([measure, better]) => {
    const get = (policy: string): number => result[policy]![measure]!.median;
    const sign = better === 'lower' ? 1 : -1;
    const findBest = (policies: string[]): string =>
      policies.reduce((best, name) => (sign * (get(name) - get(best)) < 0 ? name : best));
    const bestBaseline = findBest(baselines);
    const [baseline, ours, bound] = [get(bestBaseline), get('ours'), get(findBest(oracles))];
    const distance = sign * (baseline - bound);
    const share =
      distance <= leastDistance * Math.abs(baseline) ? null : (sign * (baseline - ours)) / distance;
    return { measure, bestBaseline, baseline, ours, bound, share };
  });
};
