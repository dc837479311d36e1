import type { NodeId } from '../NodeId.js';
import type { State } from '../State.js';

const orderPeers = (state: State, avoid: NodeId | null, node: NodeId, zone: string): string => {
  const { vmId, zone: ownZone } = state.self;
  // The following VM id comes first, so that the VMs of a zone do not all choose the same one.
  const marks = [node === avoid, zone !== ownZone, node < `${vmId}/recorder`].map(Number);
  return `${marks.join('')}${node}`;
};

/**
 * Chooses the recorder of another VM that keeps a copy: not the one to avoid, then one of the own
 * zone. Null if none is linked.
 */
export const chooseReplica = (state: State, avoid: NodeId | null): NodeId | null => {
  const own = `${state.self.vmId}/recorder`;
  const { peers, vmStates: listed } = state.membership;
  const keys = [...peers.values()]
    .filter(({ node, linked }) => linked && node.endsWith('/recorder') && node !== own)
    .filter(({ node }) => listed.get(node.slice(0, -'/recorder'.length)) !== 'leaving')
    .map(({ node, zone }) => ({ node, key: orderPeers(state, avoid, node, zone) }));
  const first = keys.reduce<(typeof keys)[number] | null>(
    (best, next) => (best === null || next.key < best.key ? next : best),
    null,
  );
  return first?.node ?? null;
};
