import type { Step } from '../jobs/Step.js';

/** Length of the critical path through the unfinished steps, by their declared run times. */
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
