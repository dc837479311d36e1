import type { World } from '../world/World.js';
import type { WorldNode } from '../world/WorldNode.js';
import { foldLog } from './foldLog.js';
import { isSameData } from './isSameData.js';
import type { Property } from './Property.js';

const checkNode = (world: World, node: WorldNode): string | null => {
  const { version, subtrees } = foldLog(world);
  const { inForce } = node.state.settings;
  if (inForce?.version !== version) {
    return `${node.id} has version ${inForce?.version ?? 'none'}, the log ${version}`;
  }
  const teams = [...subtrees]
    .filter(([path]) => path.startsWith('teams/'))
    .map(([path, { subtree }]) => [path.slice('teams/'.length), subtree] as const);
  const expected = { zones: subtrees.get('zones')?.subtree, teams: Object.fromEntries(teams) };
  return isSameData(inForce.tree, expected) ? null : `${node.id} has another tree`;
};

/** P8: all processes have the tree that the log's records give. */
export const checkOneTree: Property = (world) =>
  [...world.nodes.values()]
    .filter((node) => node.alive)
    .map((node) => checkNode(world, node))
    .find((fault) => fault !== null) ?? null;
