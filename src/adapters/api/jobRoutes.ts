import { err, ok } from 'neverthrow';
import type { ApiRoute } from './ApiRoute.js';
import { createJobId } from './createJobId.js';
import { submitJobSchema } from './submitJobSchema.js';
import { validateInput } from './validateInput.js';

const jobsPath = '/v1/workspaces/:ws/jobs';

/** Routes of jobs. */
export const jobRoutes: readonly ApiRoute[] = [
  {
    method: 'POST',
    path: jobsPath,
    successStatus: 202,
    hasBody: true,
    toCommand: ({ params: { ws: workspace = '' }, body, getHeader }) => {
      const key = getHeader('idempotency-key');
      if (key !== undefined && (key === '' || key.length > 255)) {
        return err('Idempotency-Key: expected 1 to 255 characters.');
      }
      return validateInput(submitJobSchema, body, 'body').map(({ zone, ...spec }) => ({
        kind: 'submitJob',
        jobId: createJobId(workspace, key),
        workspace,
        ...(zone === undefined ? {} : { zone }),
        spec,
      }));
    },
    buildLocation: (command) =>
      command.kind === 'submitJob'
        ? `/v1/workspaces/${encodeURIComponent(command.workspace)}/jobs/${command.jobId}`
        : jobsPath,
  },
  {
    method: 'GET',
    path: jobsPath,
    successStatus: 200,
    hasBody: false,
    toCommand: ({ params: { ws: workspace = '' } }) => ok({ kind: 'listJobs', workspace }),
  },
  {
    method: 'GET',
    path: `${jobsPath}/:id`,
    successStatus: 200,
    hasBody: false,
    toCommand: ({ params: { ws: workspace = '', id: jobId = '' } }) =>
      ok({ kind: 'showJob', workspace, jobId }),
  },
  {
    method: 'DELETE',
    path: `${jobsPath}/:id`,
    successStatus: 202,
    hasBody: false,
    toCommand: ({ params: { ws: workspace = '', id: jobId = '' } }) =>
      ok({ kind: 'cancelJob', workspace, jobId }),
  },
];
