import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';

/** Stores the platform's VM list. */
export const handleVmsListed = (state: State, event: EventOf<'vmsListed'>): Effect[] => {
  state.membership.vmStates = new Map(event.vms.map((vm) => [vm.id, vm.state]));
  return [];
};
