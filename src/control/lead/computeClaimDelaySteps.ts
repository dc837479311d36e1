import type { State } from '../State.js';

// Number of steps over which VMs spread their claims.
const jitterSteps = 6;
// Extra steps of a VM with almost no CPU capacity; a VM with at least one full core has none.
const maxWeakVmSteps = 12;

/**
 * Computes how long this VM waits before it claims leadership, in delay steps: VMs with more CPU claim
 * earlier, and jitter keeps equal ones from claiming at the same time.
 */
export const computeClaimDelaySteps = (state: State): number => {
  const text = `${state.self.vmId}/${state.self.incarnation}/${state.leader.token}`;
  const hash = [...text].reduce((sum, char) => (sum * 31 + char.charCodeAt(0)) % 65_521, 7);
  return (hash % jitterSteps) + maxWeakVmSteps * Math.max(0, 1 - state.self.cores);
};
