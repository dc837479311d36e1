import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import { listZoneSchedulers } from '../membership/listZoneSchedulers.js';
import type { State } from '../State.js';
import { sendFullCopy } from './sendFullCopy.js';

/** A new lead sends its whole memory, as peers may have received less from the previous one. */
export const handleLeadChanged = (state: State, event: EventOf<'leadChanged'>): Effect[] =>
  event.lead
    ? listZoneSchedulers(state, state.self.zone)
        .filter((peer) => peer.linked)
        .flatMap((peer) => sendFullCopy(state, peer.node))
    : [];
