import type { WorkerSpec } from './WorkerSpec.js';

/** Builds workers `w0`, `w1`, … with 8 slots each and the given slownesses. */
export const buildWorkers = (slownesses: number[]): WorkerSpec[] =>
  slownesses.map((slowness, index) => ({ id: `w${index}`, slots: 8, slowness, failsFrom: null }));
