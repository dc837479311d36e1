import type { SettingsError } from './SettingsError.js';
import type { SettingsTree } from './SettingsTree.js';

interface NameUse {
  name: string;
  path: string;
}

const findRepeated = (uses: NameUse[], expected: string): SettingsError | null => {
  const usedNames = new Set<string>();
  for (const { name, path } of uses) {
    if (usedNames.has(name)) return { kind: 'invalidSettings', path, value: name, expected };
    usedNames.add(name);
  }
  return null;
};

/**
 * Finds a name that occurs twice: a worker in two zones, a workspace of two teams, or a token
 * listed twice. A token of two teams would give one team access to the workspaces of the other.
 */
export const findConflict = (tree: SettingsTree): SettingsError | null => {
  const workers = Object.entries(tree.zones).flatMap(([zone, { workers: registered }]) =>
    Object.keys(registered).map((name) => ({ name, path: `zones/${zone}/workers/${name}` })),
  );
  const teams = Object.entries(tree.teams);
  const workspaces = teams.flatMap(([team, settings]) =>
    Object.keys(settings.workspaces).map((name) => ({
      name,
      path: `teams/${team}/workspaces/${name}`,
    })),
  );
  const tokens = teams.flatMap(([team, { tokenHashes }]) =>
    tokenHashes.map((name, index) => ({ name, path: `teams/${team}/tokenHashes/${index}` })),
  );
  return (
    findRepeated(workers, 'expected a worker name that no other zone uses') ??
    findRepeated(workspaces, 'expected a workspace name that no other team uses') ??
    findRepeated(tokens, 'expected a token that is listed once')
  );
};
