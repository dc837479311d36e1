import type { CliCommand } from '../CliCommand.js';
import { buildJobPath } from '../http/buildJobPath.js';
import { callApi } from '../http/callApi.js';
import { formatJsonValue } from '../output/formatJsonValue.js';
import { jobSchema } from './jobSchema.js';

/** Shows one job with its parts. */
export const jobsShowCommand: CliCommand = {
  name: 'jobs show',
  args: '<workspace> <id>',
  description: 'Show all fields of one job',
  options: [],
  examples: ['labels k0123456789abcdef01234567'],
  run: async (context) => {
    const [workspace = '', id = ''] = context.args;
    const path = buildJobPath(workspace, id);
    const response = await callApi(context, jobSchema, { method: 'GET', path });
    return response.map((job) => ({ data: job, view: formatJsonValue(job) }));
  },
};
