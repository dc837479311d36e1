import type { State } from '../State.js';

// VMs spread their claims over this many steps.
const jitterSteps = 6;
// Steps that a VM without any processor time would wait longer than one with a whole core.
const maxWeakVmSteps = 12;

/** A VM's place in the order in which the VMs claim: strong ones first, and not all at once. */
export const computeClaimDelaySteps = (state: State): number => {
  const text = `${state.self.vmId}/${state.self.incarnation}/${state.leader.token}`;
  const hash = [...text].reduce((sum, char) => (sum * 31 + char.charCodeAt(0)) % 65_521, 7);
  return (hash % jitterSteps) + maxWeakVmSteps * Math.max(0, 1 - state.self.cores);
};
