import type { NodeId } from '../NodeId.js';
import type { ListedVm } from './ListedVm.js';
import type { Peer } from './Peer.js';

/** What a daemon knows of other daemons and of VMs. Monotonic times are in milliseconds. */
export interface MembershipState {
  peers: Map<NodeId, Peer>;
  /** VM states by id, from the platform's list; it lags, so `live` is no proof that a VM is up. */
  vmStates: Map<string, ListedVm['state']>;
  /** Monotonic time of the next heartbeats within the zone. */
  nextHeartbeatAt: number;
  /** Monotonic time of the next heartbeats to other zones. */
  nextRemoteHeartbeatAt: number;
  /** Monotonic time of the shutdown request, or null before it. */
  drainingSince: number | null;
  /** Whether a gateway that shuts down no longer accepts requests. */
  listenerClosed: boolean;
  /** Whether the exit of the process has been requested. */
  exited: boolean;
}
