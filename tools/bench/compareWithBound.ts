import type { BoundComparison } from './BoundComparison.js';
import type { Experiment } from './Experiment.js';
import type { ExperimentResult } from './ExperimentResult.js';

// Closer than this, relative to the baseline, the share would only reflect rounding errors.
const minRelativeDistance = 0.005;

/**
 * Compares policy `ours` with the best baseline and with the bound, which is the better oracle, on
 * each compared measure.
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
    const getMedian = (policy: string): number => result[policy]![measure]!.median;
    const sign = better === 'lower' ? 1 : -1;
    const findBest = (policies: string[]): string =>
      policies.reduce((best, name) =>
        sign * (getMedian(name) - getMedian(best)) < 0 ? name : best,
      );
    const bestBaseline = findBest(baselines);
    const [baseline, ours, bound] = [
      getMedian(bestBaseline),
      getMedian('ours'),
      getMedian(findBest(oracles)),
    ];
    const distance = sign * (baseline - bound);
    const share =
      distance <= minRelativeDistance * Math.abs(baseline)
        ? null
        : (sign * (baseline - ours)) / distance;
    return { measure, bestBaseline, baseline, ours, bound, share };
  });
};
