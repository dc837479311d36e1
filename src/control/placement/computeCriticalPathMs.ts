import type { Step } from '../jobs/Step.js';

/** Longest chain of declared run times through the steps that are left. */
export const computeCriticalPathMs = (
  steps: readonly { step: Step; remaining: number }[],
): number => {
  const finishMs: number[] = [];
  steps.forEach(({ step, remaining }) => {
    const startMs = Math.max(0, ...step.after.map((index) => finishMs[index] ?? 0));
    finishMs.push(startMs + (remaining > 0 ? step.estimateMs : 0));
  });
  return Math.max(0, ...finishMs);
};
