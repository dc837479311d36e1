import type { CliCommand } from '../CliCommand.js';
import { callApiAndFormat } from '../http/callApiAndFormat.js';

/** Lists settings proposals and whether they were accepted. */
export const settingsHistoryCommand: CliCommand = {
  name: 'settings history',
  args: '[path]',
  description: 'List the proposals that the log still holds, for all subtrees or one',
  options: [],
  examples: ['', 'teams/teddy'],
  run: (context) => {
    const [path] = context.args;
    const query = path === undefined ? '' : `?${new URLSearchParams({ path }).toString()}`;
    const call = { method: 'GET', path: `/v1/settings-history${query}` };
    return callApiAndFormat(context, call);
  },
};
