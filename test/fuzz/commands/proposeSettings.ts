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
    // Each proposal drains another worker, so that the trees differ.
    const workers = Object.values(tree.zones).flatMap((zone) => Object.values(zone.workers));
    workers[number % workers.length]!.drained = true;
    return tree.zones;
  }
  const workspace = { maxAccelerators: number, maxQueuedRequests: 1000, guarantees: [], weight: 1 };
  return path === 'teams/t1'
    ? { tokenHashes: [], workspaces: { alpha: workspace, beta: workspace } }
    : { tokenHashes: [], workspaces: { gamma: workspace } };
};

/** Lets an operator read the settings at a gateway and propose a change of what it saw. */
export const proposeSettings = (
  simulation: Simulation,
  command: Extract<FuzzCommand, { type: 'propose' }>,
): void => {
  const gateway = findGateway(simulation, command.gateway);
  if (!gateway || gateway.pausedUntil > simulation.now) return;
  const { path } = command;
  const { proposals: operators } = simulation.history;
  const number = operators.length + 1;
  const requestId = `o${number}`;
  // A repeated proposal is the operator's retry of the newest one.
  const proposalId = command.again ? (operators.at(-1)?.proposalId ?? 'p1') : `p${number}`;
  const seen = gateway.state.settings.inForce?.subtreeVersions[path] ?? -1;
  operators.push({ requestId, proposalId, result: null });
  pushEvent(simulation, gateway, gateway.processNumber, {
    type: 'commandRequested',
    requestId,
    tokenHash: 'root-hash',
    command: {
      kind: 'proposeSettings',
      proposalId,
      path,
      expectedVersion: seen,
      subtree: buildSubtree(simulation, path, number),
      author: requestId,
    },
  });
};
