import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import { countHeldWorkers } from './countHeldWorkers.js';
import { isLead } from './isLead.js';

/** Re-evaluates whether this scheduler is lead and notifies the other features of a change. */
export const updateLead = (state: State, at: number): Effect[] => {
  const lead = isLead(state, at);
  if (lead === state.ownership.lead) return [];
  state.ownership.lead = lead;
  if (lead) state.ownership.leadSince = at;
  // Sends heartbeats at once, so that gateways and peers learn of the change without delay.
  state.membership.nextHeartbeatAt = at;
  state.membership.nextRemoteHeartbeatAt = at;
  return [
    { type: 'emit', event: { type: 'leadChanged', lead } },
    {
      type: 'log',
      level: 'info',
      code: lead ? 'lead_gained' : 'lead_lost',
      fields: { heldWorkers: countHeldWorkers(state, at) },
    },
  ];
};
