import type { Resources } from '../Resources.js';
import type { Worker } from '../workers/Worker.js';
import { zeroResources } from './zeroResources.js';
import type { PlacementPass } from './PlacementPass.js';

/** Resources of a worker that are neither allocated nor reserved by this pass. */
export const getFreeResources = (pass: PlacementPass, worker: Worker): Resources => {
  const capacity = worker.entry?.capacity ?? zeroResources;
  const reserved = pass.reservedResources.get(worker.id) ?? zeroResources;
  return {
    cpu: capacity.cpu - worker.allocated.cpu - reserved.cpu,
    memMb: capacity.memMb - worker.allocated.memMb - reserved.memMb,
    gpu: capacity.gpu - worker.allocated.gpu - reserved.gpu,
  };
};
