import type { Soak } from './Soak.js';

/** Chooses a time between two bounds, in whole milliseconds. */
export const chooseMs = ({ random }: Soak, minMs: number, maxMs: number): number =>
  Math.round(minMs + random() * (maxMs - minMs));
