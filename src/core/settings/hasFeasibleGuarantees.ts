import { buildPlan } from '../guarantees/buildPlan.js';
import type { SettingsTree } from './SettingsTree.js';

const listZones = (tree: SettingsTree): Set<string> => {
  const workspaces = Object.values(tree.teams).flatMap((team) => Object.values(team.workspaces));
  // A guarantee may name a zone without workers, which then cannot hold it.
  const guaranteed = workspaces.flatMap(({ guarantees }) => guarantees.map(({ zone }) => zone));
  return new Set([...Object.keys(tree.zones), ...guaranteed]);
};

/**
 * Checks that all guaranteed shapes fit into the registered workers at once. The verdict depends on
 * the tree only, so that every VM reaches the same one. A drained worker counts: an operator who
 * drains a lost rack must not be refused because the guarantees do not fit without it.
 */
export const hasFeasibleGuarantees = (tree: SettingsTree): boolean =>
  [...listZones(tree)].every((zone) => buildPlan(tree, zone, null).unplaced.length === 0);
