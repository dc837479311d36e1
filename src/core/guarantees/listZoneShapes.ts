import type { SettingsTree } from '../settings/SettingsTree.js';
import type { ZoneShape } from './ZoneShape.js';

/** Lists the guaranteed shapes of one zone. Cost: O(shapes of all workspaces). */
export const listZoneShapes = (tree: SettingsTree, zone: string): ZoneShape[] =>
  Object.values(tree.teams)
    .flatMap((team) => Object.entries(team.workspaces))
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .flatMap(([workspace, settings]) =>
      settings.guarantees.map((spec, shape) => ({ workspace, shape, spec })),
    )
    .filter(({ spec }) => spec.zone === zone);
