import { err, ok, type Result } from 'neverthrow';
import type { CliCommand } from '../CliCommand.js';
import type { CliError } from '../CliError.js';
import { readDataFile } from '../options/readDataFile.js';
import { checkSettings } from './checkSettings.js';

const buildTree = (path: string, subtree: unknown): Result<unknown, CliError> => {
  if (path === 'zones') return ok({ zones: subtree });
  const team = /^teams\/([^/]+)$/.exec(path)?.[1];
  if (team !== undefined) return ok({ teams: { [team]: subtree } });
  const hint = 'Give "zones" or "teams/TEAM".';
  return err({ type: 'usage', message: `--path ${path} is not a subtree`, hint });
};

/** The schema ignores unknown keys, so a subtree taken for a whole tree would pass unchecked. */
const requireTree = (input: unknown): Result<unknown, CliError> => {
  const unknownKey = Object.keys(input ?? {}).find((key) => key !== 'zones' && key !== 'teams');
  if (unknownKey === undefined) return ok(input);
  const hint = 'A whole tree has "zones" and "teams" only. For a subtree, give --path.';
  return err({ type: 'usage', message: `unknown key ${unknownKey} at the top`, hint });
};

/** Checks a settings file without a gateway, by the rules that the recorders apply. */
export const settingsCheckCommand: CliCommand = {
  name: 'settings check',
  args: '<file>',
  description: 'Check a TOML or JSON file with the whole tree, or with one subtree',
  options: [{ flags: '--path <path>', description: 'The file holds this subtree only' }],
  examples: ['settings.toml', 'teddy.toml --path teams/teddy'],
  run: (context) => {
    const { path } = context.options;
    const result = readDataFile(context.args[0] ?? '')
      .andThen((input) => (path === undefined ? requireTree(input) : buildTree(path, input)))
      .andThen((tree) => checkSettings(tree, path === undefined))
      .map((tree) => ({
        data: tree,
        // Without the other subtrees nothing is known about the placement of guarantees.
        view:
          path === undefined
            ? 'The settings are valid, and all guarantees can be placed.'
            : 'The subtree is valid; placement of guarantees was not checked.',
      }));
    return Promise.resolve(result);
  },
};
