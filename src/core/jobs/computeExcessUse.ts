import type { WorkerView } from './WorkerView.js';

/**
 * Accelerators of a worker that workspaces use beyond their own cells there.
 * Cost: O(workspaces on the worker).
 */
export const computeExcessUse = ({
  usedByWorkspace: usedBy,
  guaranteedByWorkspace: cellsBy,
}: WorkerView): number => {
  let excess = 0;
  usedBy.forEach((used, workspace) => {
    excess += Math.max(0, used - (cellsBy.get(workspace) ?? 0));
  });
  return excess;
};
