import type { Resources } from '../Resources.js';

/** Whether a need fits into what is free. */
export const isFitting = (need: Resources, free: Resources): boolean =>
  need.cpu <= free.cpu && need.memMb <= free.memMb && need.gpu <= free.gpu;
