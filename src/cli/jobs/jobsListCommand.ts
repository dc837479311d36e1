import { z } from 'zod';
import type { CliCommand } from '../CliCommand.js';
import { buildJobPath } from '../http/buildJobPath.js';
import { callApi } from '../http/callApi.js';
import { buildJobTable } from './buildJobTable.js';
import { jobSchema } from './jobSchema.js';

/** Lists the jobs of a workspace. */
export const jobsListCommand: CliCommand = {
  name: 'jobs list',
  args: '<workspace>',
  description: 'List the jobs of a workspace',
  options: [],
  examples: ['labels', 'labels --json'],
  run: async (context) => {
    const path = buildJobPath(context.args[0] ?? '');
    const response = await callApi(context, z.array(jobSchema), { method: 'GET', path });
    return response.map((jobs) => ({ data: jobs, view: buildJobTable(jobs) }));
  },
};
