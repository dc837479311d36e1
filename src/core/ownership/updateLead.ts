import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import { countHeldWorkers } from './countHeldWorkers.js';
import { isLead } from './isLead.js';

/** Re-evaluates the majority and tells the other features when it changed. */
export const updateLead = (state: State, at: number): Effect[] => {
  const lead = isLead(state, at);
  if (lead === state.ownership.lead) return [];
  state.ownership.lead = lead;
  if (lead) state.ownership.leadSince = at;
  // Gateways and peers should not wait a whole heartbeat interval to learn of a new lead.
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
