import { buildPlan } from '../guarantees/buildPlan.js';
import type { SettingsTree } from './SettingsTree.js';

const listZones = (tree: SettingsTree): Set<string> => {
  const workspaces = Object.values(tree.teams).flatMap((team) => Object.values(team.workspaces));
  // Includes zones without workers that a guarantee names; they make it infeasible.
  const guaranteed = workspaces.flatMap(({ guarantees }) => guarantees.map(({ zone }) => zone));
  return new Set([...Object.keys(tree.zones), ...guaranteed]);
};

/**
 * Tells whether all guaranteed shapes fit on the registered workers at the same time. The result
 * depends only on the tree, so that every VM reaches the same verdict. Drained workers count,
 * because otherwise draining a lost rack could be refused when the guarantees don't fit without it.
 */
export const hasFeasibleGuarantees = (tree: SettingsTree): boolean =>
  [...listZones(tree)].every((zone) => buildPlan(tree, zone, null).unplaced.length === 0);
