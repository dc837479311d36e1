import type { WorkerView } from './WorkerView.js';

/**
 * Computes how many accelerators of a worker are used by workspaces beyond their own cells there.
 * Cost: O(workspaces on the worker).
 */
export const computeExcessUse = ({
  usedByWorkspace,
  guaranteedByWorkspace,
}: WorkerView): number => {
  let excess = 0;
  usedByWorkspace.forEach((used, workspace) => {
    excess += Math.max(0, used - (guaranteedByWorkspace.get(workspace) ?? 0));
  });
  return excess;
};
