import type { Spread } from './Spread.js';

/** Computes the spread of a non-empty list of values. */
export const computeSpread = (values: number[]): Spread => {
  const sorted = [...values].sort((a, b) => a - b);
  const upper = sorted[Math.floor(sorted.length / 2)]!;
  const lower = sorted[Math.floor((sorted.length - 1) / 2)]!;
  return { min: sorted[0]!, median: (lower + upper) / 2, max: sorted.at(-1)! };
};
