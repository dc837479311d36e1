import type { Resources } from '../Resources.js';

/** Whether the needed resources fit into the free ones. */
export const isFitting = (need: Resources, free: Resources): boolean =>
  need.cpu <= free.cpu && need.memMb <= free.memMb && need.gpu <= free.gpu;
