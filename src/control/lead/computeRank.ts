import type { State } from '../State.js';

// VMs spread their claims over this many steps.
const steps = 8;

/** A VM's place in the order in which the VMs claim; it only keeps them from claiming at once. */
export const computeRank = (state: State): number => {
  const text = `${state.self.vmId}/${state.self.incarnation}/${state.lead.token}`;
  return [...text].reduce((hash, char) => (hash * 31 + char.charCodeAt(0)) % 65_521, 7) % steps;
};
