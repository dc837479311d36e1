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

/** Rejects unknown keys. The schema ignores them, so a subtree file without --path would pass. */
const requireTree = (input: unknown): Result<unknown, CliError> => {
  const unknownKey = Object.keys(input ?? {}).find((key) => key !== 'zones' && key !== 'teams');
  if (unknownKey === undefined) return ok(input);
  const hint = 'A whole tree has only "zones" and "teams". For a subtree, give --path.';
  return err({ type: 'usage', message: `unknown top-level key ${unknownKey}`, hint });
};

/** Checks a settings file locally, by the rules that the recorders apply. */
export const settingsCheckCommand: CliCommand = {
  name: 'settings check',
  args: '<file>',
  description: 'Check a TOML or JSON file of the whole settings tree, or of one subtree',
  options: [{ flags: '--path <path>', description: 'Path of the subtree that the file holds' }],
  examples: ['settings.toml', 'teddy.toml --path teams/teddy'],
  run: (context) => {
    const { path } = context.options;
    const result = readDataFile(context.args[0] ?? '')
      .andThen((input) => (path === undefined ? requireTree(input) : buildTree(path, input)))
      .andThen((tree) => checkSettings(tree, path === undefined))
      .map((tree) => ({
        data: tree,
        // Whether the guarantees can be placed depends on all subtrees.
        view:
          path === undefined
            ? 'The settings are valid, and all guarantees can be placed.'
            : 'The subtree is valid; placement of guarantees was not checked.',
      }));
    return Promise.resolve(result);
  },
};
