import type { Effect } from '../Effect.js';
import { listZoneSchedulers } from '../membership/listZoneSchedulers.js';
import type { ReplicateMessage } from '../routing/ReplicateMessage.js';
import type { State } from '../State.js';

/** Sends one copy message to every linked scheduler of the zone. */
export const sendToZone = (
  state: State,
  content: Omit<ReplicateMessage, 'type' | 'sequence'>,
): Effect[] => {
  state.replication.sequence += 1;
  const message = { type: 'replicate', sequence: state.replication.sequence, ...content } as const;
  return listZoneSchedulers(state, state.self.zone)
    .filter((peer) => peer.linked)
    .map((peer) => ({ type: 'send', to: peer.node, message }));
};
