import type { CliCommand } from '../CliCommand.js';
import { callApi } from '../http/callApi.js';
import { formatCell } from '../output/formatCell.js';
import { settingsSnapshotSchema } from '../settings/settingsSnapshotSchema.js';

const settingColumns = ['weight', 'maxAccelerators', 'maxQueuedRequests', 'guarantees'];

/** Lists the workspaces of the current settings. */
export const workspacesCommand: CliCommand = {
  name: 'workspaces',
  args: '',
  description: 'List the workspaces with team, limits and guarantees',
  options: [],
  examples: ['', '--json'],
  run: async (context) => {
    const response = await callApi(context, settingsSnapshotSchema, {
      method: 'GET',
      path: '/v1/settings',
    });
    return response.map(({ tree }) => {
      const data = Object.entries(tree.teams).flatMap(([team, { workspaces }]) =>
        Object.entries(workspaces).map(([name, settings]) => ({ name, team, ...settings })),
      );
      const rows = data.map((workspace: Record<string, unknown>) =>
        ['name', 'team', ...settingColumns].map((column) => formatCell(workspace[column])),
      );
      return { data, view: { columns: ['workspace', 'team', ...settingColumns], rows } };
    });
  },
};
