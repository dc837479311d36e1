import type { State } from '../State.js';

// VMs spread their claims over this many steps.
const steps = 6;
// Steps that a VM without any processor time would wait longer than one with a whole core.
const weakSteps = 12;

/** A VM's place in the order in which the VMs claim: strong ones first, and not all at once. */
export const computeRank = (state: State): number => {
  const text = `${state.self.vmId}/${state.self.incarnation}/${state.lead.token}`;
  const hash = [...text].reduce((sum, char) => (sum * 31 + char.charCodeAt(0)) % 65_521, 7);
  return (hash % steps) + weakSteps * Math.max(0, 1 - state.self.cores);
};
