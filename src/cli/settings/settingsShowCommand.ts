import { err, ok, type Result } from 'neverthrow';
import { stringify } from 'smol-toml';
import type { z } from 'zod';
import type { CliCommand } from '../CliCommand.js';
import type { CliError } from '../CliError.js';
import type { CliOutput } from '../CliOutput.js';
import { callApi } from '../http/callApi.js';
import { settingsSnapshotSchema } from './settingsSnapshotSchema.js';

type Snapshot = z.output<typeof settingsSnapshotSchema>;

const listSubtrees = ({ tree, subtreeVersions }: Snapshot) => {
  const teams = Object.entries(tree.teams).map(([team, subtree]) => ({
    path: `teams/${team}`,
    subtree,
  }));
  return [{ path: 'zones', subtree: tree.zones }, ...teams].map((entry) => ({
    ...entry,
    // -1 until the first change of a subtree.
    version: subtreeVersions[entry.path] ?? -1,
  }));
};

const showSubtree = (snapshot: Snapshot, path: string): Result<CliOutput, CliError> => {
  const entry = listSubtrees(snapshot).find((candidate) => candidate.path === path);
  if (entry) {
    const heading = `# ${entry.path}, version ${entry.version}`;
    return ok({ data: entry, view: `${heading}\n${stringify(entry.subtree)}` });
  }
  const hint = 'List the paths with "siskin settings show".';
  return err({ type: 'usage', message: `the settings have no subtree ${path}`, hint });
};

/** Shows the current settings; a subtree is printed as TOML that can be edited and proposed. */
export const settingsShowCommand: CliCommand = {
  name: 'settings show',
  args: '[path]',
  description: 'List the subtrees of the current settings, or print one as TOML',
  options: [],
  examples: ['', 'zones', 'teams/teddy > teddy.toml'],
  run: async (context) => {
    const response = await callApi(context, settingsSnapshotSchema, {
      method: 'GET',
      path: '/v1/settings',
    });
    const [path] = context.args;
    return response.andThen((snapshot) => {
      if (path !== undefined) return showSubtree(snapshot, path);
      const rows = listSubtrees(snapshot).map((entry) => [entry.path, String(entry.version)]);
      return ok({ data: snapshot, view: { columns: ['path', 'version'], rows } });
    });
  },
};
