import type { NodeId } from '../../core/NodeId.js';

/** A daemon of the mesh and where it listens. */
export interface MeshPeer {
  node: NodeId;
  zone: string;
  host: string;
  port: number;
}
