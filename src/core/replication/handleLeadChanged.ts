import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import { listZoneSchedulers } from '../membership/listZoneSchedulers.js';
import type { State } from '../State.js';
import { sendFullCopy } from './sendFullCopy.js';

/** Sends a full copy when this scheduler becomes lead, as peers may have received less before. */
export const handleLeadChanged = (state: State, event: EventOf<'leadChanged'>): Effect[] =>
  event.lead
    ? listZoneSchedulers(state, state.self.zone)
        .filter((peer) => peer.linked)
        .flatMap((peer) => sendFullCopy(state, peer.node))
    : [];
