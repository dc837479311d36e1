import type { Resources } from '../Resources.js';
import type { Worker } from '../workers/Worker.js';
import { noResources } from './noResources.js';
import type { Pass } from './Pass.js';

/** What is free at a worker and not kept for others. */
export const getFree = (pass: Pass, worker: Worker): Resources => {
  const capacity = worker.entry?.capacity ?? noResources;
  const held = pass.held.get(worker.id) ?? noResources;
  return {
    cpu: capacity.cpu - worker.used.cpu - held.cpu,
    memMb: capacity.memMb - worker.used.memMb - held.memMb,
    gpu: capacity.gpu - worker.used.gpu - held.gpu,
  };
};
