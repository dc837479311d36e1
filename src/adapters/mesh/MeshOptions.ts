import type { CounterName } from '../../core/CounterName.js';
import type { NodeIdentity } from '../../core/NodeIdentity.js';
import type { UntimedEvent } from '../../core/UntimedEvent.js';
import type { Logger } from '../logger/Logger.js';
import type { MeshPeer } from './MeshPeer.js';

/** Options of the mesh of one daemon. */
export interface MeshOptions {
  self: NodeIdentity;
  secret: string;
  listen: { host: string; port: number };
  /** Every daemon that may connect or be connected to. */
  peers: MeshPeer[];
  push: (event: UntimedEvent) => void;
  count: (name: CounterName) => void;
  logger: Pick<Logger, 'write'>;
}
