import type { CapacityTier } from './CapacityTier.js';
import { computeExcessUse } from './computeExcessUse.js';
import type { WorkerView } from './WorkerView.js';

const countFree = ({
  accelerators,
  slots,
  usedAccelerators: used,
  requestSlots: requests,
}: WorkerView): number => Math.max(0, Math.min(accelerators - used, slots - used - requests));

const countOwn = (
  { usedByWorkspace: usedBy, guaranteedByWorkspace: cellsBy }: WorkerView,
  workspace: string,
): number => Math.max(0, (cellsBy.get(workspace) ?? 0) - (usedBy.get(workspace) ?? 0));

const countUnassigned = (view: WorkerView): number => {
  let cells = 0;
  view.guaranteedByWorkspace.forEach((accelerators) => {
    cells += accelerators;
  });
  return Math.max(0, view.accelerators - cells - computeExcessUse(view));
};

const tiers: Record<CapacityTier, (view: WorkerView, workspace: string) => number> = {
  own: (view, workspace) => Math.min(countFree(view), countOwn(view, workspace)),
  unassigned: (view, workspace) =>
    Math.min(countFree(view), countOwn(view, workspace) + countUnassigned(view)),
  lent: countFree,
  reclaimable: countOwn,
};

/**
 * Accelerators of a worker that a workspace may use in a tier. Use by a workspace counts against
 * its own cells first. Cost: O(workspaces on the worker).
 */
export const computeCapacity = (view: WorkerView, workspace: string, tier: CapacityTier): number =>
  tiers[tier](view, workspace);
