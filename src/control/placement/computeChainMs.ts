import type { Step } from '../jobs/Step.js';

/** Longest chain of declared run times through the steps that are left. */
export const computeChainMs = (steps: readonly { step: Step; remaining: number }[]): number => {
  const ends: number[] = [];
  steps.forEach(({ step, remaining }) => {
    const begin = Math.max(0, ...step.after.map((index) => ends[index] ?? 0));
    ends.push(begin + (remaining > 0 ? step.estimateMs : 0));
  });
  return Math.max(0, ...ends);
};
