import type { NodeId } from '../NodeId.js';
import type { HeartbeatMessage } from './HeartbeatMessage.js';

/** Another daemon as this one sees it. */
export interface Peer {
  node: NodeId;
  zone: string;
  linked: boolean;
  /** Monotonic time of the newest sign of life; of the loss while the link is down. */
  lastHeardAt: number;
  heartbeat?: Omit<HeartbeatMessage, 'type'>;
}
