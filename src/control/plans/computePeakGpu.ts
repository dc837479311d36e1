import type { Step } from '../jobs/Step.js';

/** For each step, the indexes of the steps that must be finished first, directly or through others. */
const listPredecessors = (steps: readonly Step[]): Set<number>[] => {
  const predecessors: Set<number>[] = [];
  steps.forEach(({ after }) => {
    const indexes = new Set(after);
    new Set(after).forEach((index) => predecessors[index]?.forEach((other) => indexes.add(other)));
    predecessors.push(indexes);
  });
  return predecessors;
};

/**
 * Computes an upper bound of the accelerators that the steps of a job use at a time: the largest sum of one step and
 * all steps that neither precede nor follow it.
 */
export const computePeakGpu = (steps: readonly Step[]): number => {
  const predecessors = listPredecessors(steps);
  const mayOverlap = (a: number, b: number): boolean =>
    !predecessors[a]!.has(b) && !predecessors[b]!.has(a);
  const sums = steps.map((_, index) =>
    steps.reduce(
      (sum, { count, need }, other) => (mayOverlap(index, other) ? sum + count * need.gpu : sum),
      0,
    ),
  );
  return Math.max(...sums);
};
