import { err } from 'neverthrow';
import type { CliCommand } from '../CliCommand.js';
import { callApiAndFormat } from '../http/callApiAndFormat.js';
import { readDataFile } from '../options/readDataFile.js';
import { parseVersionOption } from './parseVersionOption.js';

/** Proposes a changed subtree of the settings. */
export const settingsProposeCommand: CliCommand = {
  name: 'settings propose',
  args: '<path> <file>',
  description: 'Propose a subtree ("zones" or "teams/TEAM") from a TOML or JSON file',
  options: [
    { flags: '--expect <version>', description: 'Version that the change is based on, or "new"' },
    {
      flags: '--author <name>',
      description: 'Name shown in the history (default: your user name)',
    },
  ],
  examples: ['teams/teddy teddy.toml --expect 41', 'zones zones.json --expect new --author ada'],
  run: async (context) => {
    const [path = '', file = ''] = context.args;
    const input = parseVersionOption(context).andThen((version) =>
      readDataFile(file).map((subtree) => ({ version, subtree })),
    );
    if (input.isErr()) return err(input.error);
    return callApiAndFormat(context, {
      method: 'PUT',
      path: `/v1/settings/${path.split('/').map(encodeURIComponent).join('/')}`,
      headers: {
        'content-type': 'application/json',
        'if-match': `"${input.value.version}"`,
        'siskin-author': context.options.author ?? context.userName,
      },
      body: JSON.stringify(input.value.subtree),
    });
  },
};
