import type { CapacityTier } from './CapacityTier.js';
import { computeExcessUse } from './computeExcessUse.js';
import type { WorkerView } from './WorkerView.js';

const countFree = ({ accelerators, slots, usedAccelerators, requestSlots }: WorkerView): number =>
  Math.max(0, Math.min(accelerators - usedAccelerators, slots - usedAccelerators - requestSlots));

const countOwn = (
  { usedByWorkspace, guaranteedByWorkspace }: WorkerView,
  workspace: string,
): number =>
  Math.max(0, (guaranteedByWorkspace.get(workspace) ?? 0) - (usedByWorkspace.get(workspace) ?? 0));

const countUnassigned = (view: WorkerView): number => {
  let guaranteed = 0;
  view.guaranteedByWorkspace.forEach((accelerators) => {
    guaranteed += accelerators;
  });
  return Math.max(0, view.accelerators - guaranteed - computeExcessUse(view));
};

const capacityByTier: Record<CapacityTier, (view: WorkerView, workspace: string) => number> = {
  own: (view, workspace) => Math.min(countFree(view), countOwn(view, workspace)),
  unassigned: (view, workspace) =>
    Math.min(countFree(view), countOwn(view, workspace) + countUnassigned(view)),
  lent: countFree,
  reclaimable: countOwn,
};

/**
 * Computes how many accelerators of a worker a workspace may use in a tier. The use of a workspace
 * counts against its own cells first. Cost: O(workspaces on the worker).
 */
export const computeCapacity = (view: WorkerView, workspace: string, tier: CapacityTier): number =>
  capacityByTier[tier](view, workspace);
