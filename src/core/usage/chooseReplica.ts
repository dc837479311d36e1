import type { NodeId } from '../NodeId.js';
import type { State } from '../State.js';

const buildSortKey = (state: State, avoid: NodeId | null, node: NodeId, zone: string): string => {
  const { vmId, zone: ownZone } = state.self;
  // Prefers the next higher VM id, so that the VMs of a zone do not all choose the same recorder.
  const flags = [node === avoid, zone !== ownZone, node < `${vmId}/recorder`].map(Number);
  return `${flags.join('')}${node}`;
};

/**
 * Chooses the recorder of another VM that keeps a copy: preferably not the one to avoid, then one
 * of the own zone. Null if none is connected.
 */
export const chooseReplica = (state: State, avoid: NodeId | null): NodeId | null => {
  const ownRecorder = `${state.self.vmId}/recorder`;
  const { peers, vmStates } = state.membership;
  const candidates = [...peers.values()]
    .filter(({ node, linked }) => linked && node.endsWith('/recorder') && node !== ownRecorder)
    .filter(({ node }) => vmStates.get(node.slice(0, -'/recorder'.length)) !== 'leaving')
    .map(({ node, zone }) => ({ node, key: buildSortKey(state, avoid, node, zone) }));
  const first = candidates.reduce<(typeof candidates)[number] | null>(
    (best, next) => (best === null || next.key < best.key ? next : best),
    null,
  );
  return first?.node ?? null;
};
