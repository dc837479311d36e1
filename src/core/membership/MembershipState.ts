import type { NodeId } from '../NodeId.js';
import type { ListedVm } from './ListedVm.js';
import type { Peer } from './Peer.js';

/** What a daemon knows of the other daemons and of VMs. */
export interface MembershipState {
  peers: Map<NodeId, Peer>;
  /** The platform's VM list; it lags, so leaving here wins but live proves nothing. */
  vmStates: Map<string, ListedVm['state']>;
  nextHeartbeatAt: number;
  nextRemoteHeartbeatAt: number;
  /** Set once SIGTERM has arrived; monotonic milliseconds. */
  drainingSince: number | null;
  listenerClosed: boolean;
  exited: boolean;
}
