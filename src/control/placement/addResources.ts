import type { Resources } from '../Resources.js';

/** Adds two resource amounts. */
export const addResources = (a: Resources, b: Resources): Resources => ({
  cpu: a.cpu + b.cpu,
  memMb: a.memMb + b.memMb,
  gpu: a.gpu + b.gpu,
});
