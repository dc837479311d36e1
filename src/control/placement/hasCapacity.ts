import type { Resources } from '../Resources.js';
import type { Worker } from '../workers/Worker.js';
import type { PlacementPass } from './PlacementPass.js';

/**
 * Whether one task with this need fits on the worker. Asked for each waiting step and worker, so it
 * compares without building anything.
 */
export const hasCapacity = (
  pass: PlacementPass,
  { id, entry, allocated }: Worker,
  need: Resources,
): boolean => {
  if (!entry) return false;
  const { capacity } = entry;
  const reserved = pass.reservedResources.get(id);
  return (
    need.gpu <= capacity.gpu - allocated.gpu - (reserved?.gpu ?? 0) &&
    need.cpu <= capacity.cpu - allocated.cpu - (reserved?.cpu ?? 0) &&
    need.memMb <= capacity.memMb - allocated.memMb - (reserved?.memMb ?? 0)
  );
};
