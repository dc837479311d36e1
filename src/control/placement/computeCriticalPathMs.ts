import type { Step } from '../jobs/Step.js';

/** Length of the critical path through the unfinished steps, by their declared run times. */
export const computeCriticalPathMs = (
  steps: readonly { definition: Step; remaining: number }[],
): number => {
  const finishMs: number[] = [];
  steps.forEach(({ definition, remaining }) => {
    const startMs = Math.max(0, ...definition.after.map((index) => finishMs[index] ?? 0));
    finishMs.push(startMs + (remaining > 0 ? definition.estimateMs : 0));
  });
  return Math.max(0, ...finishMs);
};
