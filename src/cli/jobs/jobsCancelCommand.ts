import type { CliCommand } from '../CliCommand.js';
import { buildJobPath } from '../http/buildJobPath.js';
import { callApi } from '../http/callApi.js';
import { buildJobTable } from './buildJobTable.js';
import { jobSchema } from './jobSchema.js';

/** Cancels one job. */
export const jobsCancelCommand: CliCommand = {
  name: 'jobs cancel',
  args: '<workspace> <id>',
  description: 'Cancel one job; it ends when all its parts have stopped',
  options: [],
  examples: ['labels k0123456789abcdef01234567'],
  run: async (context) => {
    const [workspace = '', id = ''] = context.args;
    const path = buildJobPath(workspace, id);
    const response = await callApi(context, jobSchema, { method: 'DELETE', path });
    // Prints the job, because cancelling has no effect on a job that has already ended.
    return response.map((job) => ({ data: job, view: buildJobTable([job]) }));
  },
};
