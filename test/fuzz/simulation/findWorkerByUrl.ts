import type { FakeWorker } from './FakeWorker.js';
import type { Simulation } from './Simulation.js';

/** Finds the worker with a URL; the settings use its number as the port. */
export const findWorkerByUrl = (simulation: Simulation, url: string): FakeWorker =>
  [...simulation.workers.values()][Number(url.split(':').at(-1)) - 1]!;
