import type { WorkerSpec } from './WorkerSpec.js';

/** Builds workers `w0`, `w1`, … of 8 slots with the given slownesses. */
export const buildWorkers = (slownesses: number[]): WorkerSpec[] =>
  slownesses.map((slowness, index) => ({ id: `w${index}`, slots: 8, slowness, failsFrom: null }));
