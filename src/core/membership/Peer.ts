import type { NodeId } from '../NodeId.js';
import type { HeartbeatMessage } from './HeartbeatMessage.js';

/** What a daemon knows of another one. */
export interface Peer {
  node: NodeId;
  zone: string;
  linked: boolean;
  /** Monotonic milliseconds of the last heartbeat or link opening, or of the loss of the link. */
  lastHeardAt: number;
  /** The newest heartbeat; absent before the first since the link was opened. */
  heartbeat?: Omit<HeartbeatMessage, 'type'>;
}
