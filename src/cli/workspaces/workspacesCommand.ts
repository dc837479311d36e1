import type { CliCommand } from '../CliCommand.js';
import { callApi } from '../http/callApi.js';
import { formatCell } from '../output/formatCell.js';
import { snapshotSchema } from '../settings/snapshotSchema.js';

const columns = ['weight', 'maxAccelerators', 'maxQueuedRequests', 'guarantees'];

/** Lists the workspaces of the settings in force. */
export const workspacesCommand: CliCommand = {
  name: 'workspaces',
  args: '',
  description: 'List the workspaces with team, limits and guarantees',
  options: [],
  examples: ['', '--json'],
  run: async (context) => {
    const answer = await callApi(context, snapshotSchema, { method: 'GET', path: '/v1/settings' });
    return answer.map(({ tree }) => {
      const data = Object.entries(tree.teams).flatMap(([team, { workspaces }]) =>
        Object.entries(workspaces).map(([name, settings]) => ({ name, team, ...settings })),
      );
      const rows = data.map((workspace: Record<string, unknown>) =>
        ['name', 'team', ...columns].map((column) => formatCell(workspace[column])),
      );
      return { data, view: { columns: ['workspace', 'team', ...columns], rows } };
    });
  },
};
