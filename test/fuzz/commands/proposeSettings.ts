import type { SubtreePath } from '../../../src/core/settings/SubtreePath.js';
import { makeSnapshot } from '../simulation/makeSnapshot.js';
import { pushEvent } from '../simulation/pushEvent.js';
import type { Simulation } from '../simulation/Simulation.js';
import { findGateway } from './findGateway.js';
import type { FuzzCommand } from './FuzzCommand.js';

const buildSubtree = (simulation: Simulation, path: SubtreePath, number: number): unknown => {
  const zones = Object.keys(simulation.snapshot.tree.zones);
  const { tree } = makeSnapshot([...simulation.workers.values()], 0, zones);
  if (path === 'zones') {
    // Each proposal drains a different worker, so that the trees differ.
    const workers = Object.values(tree.zones).flatMap((zone) => Object.values(zone.workers));
    workers[number % workers.length]!.drained = true;
    return tree.zones;
  }
  const workspace = { maxAccelerators: number, maxQueuedRequests: 1000, guarantees: [], weight: 1 };
  return path === 'teams/t1'
    ? { tokenHashes: [], workspaces: { alpha: workspace, beta: workspace } }
    : { tokenHashes: [], workspaces: { gamma: workspace } };
};

/** Reads the settings version at a gateway as an operator and proposes a change to it. */
export const proposeSettings = (
  simulation: Simulation,
  command: Extract<FuzzCommand, { type: 'propose' }>,
): void => {
  const gateway = findGateway(simulation, command.gateway);
  if (!gateway || gateway.pausedUntil > simulation.now) return;
  const { path } = command;
  const { proposals } = simulation.history;
  const number = proposals.length + 1;
  const requestId = `o${number}`;
  // A repeated proposal is the operator's retry of the newest one.
  const proposalId = command.again ? (proposals.at(-1)?.proposalId ?? 'p1') : `p${number}`;
  const seenVersion = gateway.state.settings.inForce?.subtreeVersions[path] ?? -1;
  proposals.push({ requestId, proposalId, result: null });
  pushEvent(simulation, gateway, gateway.processNumber, {
    type: 'commandRequested',
    requestId,
    tokenHash: 'root-hash',
    command: {
      kind: 'proposeSettings',
      proposalId,
      path,
      expectedVersion: seenVersion,
      subtree: buildSubtree(simulation, path, number),
      author: requestId,
    },
  });
};
