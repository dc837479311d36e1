import type { Resources } from '../Resources.js';

/** Sum of two amounts. */
export const addResources = (a: Resources, b: Resources): Resources => ({
  cpu: a.cpu + b.cpu,
  memMb: a.memMb + b.memMb,
  gpu: a.gpu + b.gpu,
});
