import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import { getNodeRole } from '../getNodeRole.js';
import { isLead } from '../ownership/isLead.js';
import type { State } from '../State.js';
import { sendFullCopy } from './sendFullCopy.js';
import { sendSupplement } from './sendSupplement.js';

/** Brings a scheduler of the zone up to date when its link opens. */
export const handleLinkOpened = (state: State, event: EventOf<'linkOpened'>): Effect[] => {
  if (state.self.role !== 'scheduler' || getNodeRole(event.node) !== 'scheduler') return [];
  state.replication.acknowledgedByPeer.delete(event.node);
  if (event.zone !== state.self.zone) return [];
  // A scheduler that has just started may become lead, although only its peers know the jobs.
  return isLead(state, event.at)
    ? sendFullCopy(state, event.node)
    : sendSupplement(state, event.node);
};
