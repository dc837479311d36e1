import type { FakeWorker } from './FakeWorker.js';
import type { World } from './World.js';

/** Finds the worker at an address; the settings use its number as the port. */
export const findWorkerByUrl = (world: World, url: string): FakeWorker =>
  [...world.workers.values()][Number(url.split(':').at(-1)) - 1]!;
