import type { Simulation } from '../simulation/Simulation.js';
import type { SimulatedNode } from '../simulation/SimulatedNode.js';
import { foldSettingsLog } from './foldSettingsLog.js';
import { isEqualJson } from './isEqualJson.js';
import type { Property } from './Property.js';

const checkNode = (simulation: Simulation, node: SimulatedNode): string | null => {
  const { version, subtrees } = foldSettingsLog(simulation);
  const { inForce } = node.state.settings;
  if (inForce?.version !== version) {
    return `${node.id} has version ${inForce?.version ?? 'none'}, the log ${version}`;
  }
  const teams = [...subtrees]
    .filter(([path]) => path.startsWith('teams/'))
    .map(([path, { subtree }]) => [path.slice('teams/'.length), subtree] as const);
  const expected = { zones: subtrees.get('zones')?.subtree, teams: Object.fromEntries(teams) };
  return isEqualJson(inForce.tree, expected) ? null : `${node.id} has another tree`;
};

/** P8: every running process has the tree that results from the records of the log. */
export const checkSettingsConvergence: Property = (simulation) =>
  [...simulation.nodes.values()]
    .filter((node) => node.alive)
    .map((node) => checkNode(simulation, node))
    .find((fault) => fault !== null) ?? null;
