import type { CliCommand } from '../CliCommand.js';
import { callApi } from '../http/callApi.js';
import { formatTable } from '../output/formatTable.js';
import { buildStatusTable } from './buildStatusTable.js';
import { listZoneProblems } from './listZoneProblems.js';
import type { ApiStatus } from './ApiStatus.js';
import { statusSchema } from './statusSchema.js';

const formatStatus = (status: ApiStatus): string => {
  const problems = listZoneProblems(status, Date.now());
  const summary = problems.length === 0 ? 'No problems.' : `Problems:\n${problems.join('\n')}`;
  return `${formatTable(buildStatusTable(status))}\n\n${summary}`;
};

/** Shows the state of each zone and its problems. */
export const statusCommand: CliCommand = {
  name: 'status',
  args: '',
  description: 'Show the state of daemons, workers and guarantees',
  options: [],
  examples: ['', '--json', '--url http://10.0.0.7:8080'],
  run: async (context) =>
    (await callApi(context, statusSchema, { method: 'GET', path: '/v1/status' })).map((status) => ({
      data: status,
      view: formatStatus(status),
    })),
};
