import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import { startReplicatedGangs } from '../jobs/startReplicatedGangs.js';
import { resolveKeyClaims } from '../routing/resolveKeyClaims.js';
import type { State } from '../State.js';

/** Records the acknowledgement of a copy and continues the requests and gangs that wait for it. */
export const handleReplicateAck = (state: State, event: EventOf<'replicateAck'>): Effect[] => {
  const { acknowledgedByPeer } = state.replication;
  const highest = acknowledgedByPeer.get(event.from) ?? -1;
  acknowledgedByPeer.set(event.from, Math.max(highest, event.sequence));
  return [...resolveKeyClaims(state, event.at), ...startReplicatedGangs(state, event.at)];
};
