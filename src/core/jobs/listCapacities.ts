import type { CapacityTier } from './CapacityTier.js';
import { computeCapacity } from './computeCapacity.js';
import type { WorkerCapacity } from './WorkerCapacity.js';
import type { WorkerView } from './WorkerView.js';

/** Lists the capacity of each worker that a workspace may use in a tier. Cost: O(workers). */
export const listCapacities = (
  views: ReadonlyMap<string, WorkerView>,
  workspace: string,
  tier: CapacityTier,
): WorkerCapacity[] =>
  [...views.values()].map((view) => ({
    workerId: view.workerId,
    rack: view.rack,
    capacity: computeCapacity(view, workspace, tier),
  }));
