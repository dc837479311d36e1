import type { Effect } from '../Effect.js';
import { getNodeRole } from '../getNodeRole.js';
import { countHeldWorkers } from '../ownership/countHeldWorkers.js';
import { isLead } from '../ownership/isLead.js';
import type { State } from '../State.js';
import type { HeartbeatMessage } from './HeartbeatMessage.js';

const buildHeartbeat = (state: State, at: number): HeartbeatMessage => ({
  type: 'heartbeat',
  zone: state.self.zone,
  incarnation: state.self.incarnation,
  lead: isLead(state, at),
  heldWorkers: countHeldWorkers(state, at),
  draining: state.membership.drainingSince !== null,
  settingsVersion: state.settings.inForce?.version ?? -1,
});

/** Sends a scheduler's heartbeat to the peers for which it is due. Cost: O(linked peers). */
export const sendHeartbeats = (state: State, at: number): Effect[] => {
  const { membership, timing, self } = state;
  const localDue = at >= membership.nextHeartbeatAt;
  const remoteDue = at >= membership.nextRemoteHeartbeatAt;
  if (!localDue && !remoteDue) return [];
  if (localDue) membership.nextHeartbeatAt = at + timing.heartbeatEveryMs;
  if (remoteDue) membership.nextRemoteHeartbeatAt = at + timing.remoteHeartbeatEveryMs;
  const message = buildHeartbeat(state, at);
  return [...membership.peers.values()]
    .filter((peer) => peer.linked && getNodeRole(peer.node) !== 'recorder')
    .filter((peer) => (peer.zone === self.zone ? localDue : remoteDue))
    .map((peer) => ({ type: 'send', to: peer.node, message }));
};
