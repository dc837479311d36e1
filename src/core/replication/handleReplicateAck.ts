import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import { startReplicatedGangs } from '../jobs/startReplicatedGangs.js';
import { resolveKeyClaims } from '../routing/resolveKeyClaims.js';
import type { State } from '../State.js';

/** Notes what a peer has copied and goes on with the keyed requests and gangs that waited for it. */
export const handleReplicateAck = (state: State, event: EventOf<'replicateAck'>): Effect[] => {
  const { acknowledgedByPeer: acknowledged } = state.replication;
  const known = acknowledged.get(event.from) ?? -1;
  acknowledged.set(event.from, Math.max(known, event.sequence));
  return [...resolveKeyClaims(state, event.at), ...startReplicatedGangs(state, event.at)];
};
