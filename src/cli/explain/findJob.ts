import { err, ok, type Result } from 'neverthrow';
import type { CliContext } from '../CliContext.js';
import type { CliError } from '../CliError.js';
import { buildJobPath } from '../http/buildJobPath.js';
import { callApi } from '../http/callApi.js';
import { jobSchema } from '../jobs/jobSchema.js';
import type { ApiJob } from '../jobs/ApiJob.js';
import { settingsSnapshotSchema } from '../settings/settingsSnapshotSchema.js';

/** Codes of refusals after which the search goes on with the next workspace. */
const skippedRefusalCodes = new Set(['unknown-job', 'forbidden']);

const listCandidateWorkspaces = async (
  context: CliContext,
): Promise<Result<string[], CliError>> => {
  const { workspace } = context.options;
  if (workspace !== undefined) return ok([workspace]);
  const response = await callApi(context, settingsSnapshotSchema, {
    method: 'GET',
    path: '/v1/settings',
  });
  return response.map(({ tree }) =>
    Object.values(tree.teams).flatMap(({ workspaces }) => Object.keys(workspaces)),
  );
};

/** Finds a job by its id in the given workspace, or in all workspaces that the token can access. */
export const findJob = async (
  context: CliContext,
  id: string,
): Promise<Result<ApiJob, CliError>> => {
  const workspaces = await listCandidateWorkspaces(context);
  if (workspaces.isErr()) return err(workspaces.error);
  for (const workspace of workspaces.value) {
    const call = { method: 'GET', path: buildJobPath(workspace, id) };
    // eslint-disable-next-line no-await-in-loop -- stops at the first workspace that has the job
    const response = await callApi(context, jobSchema, call);
    if (response.isOk()) return response;
    const { error } = response;
    if (error.type !== 'refused' || !skippedRefusalCodes.has(error.problem.code)) return err(error);
  }
  const hint =
    'Check the id with "siskin jobs list WORKSPACE", and that the token has access to it.';
  return err({ type: 'usage', message: `no accessible workspace has a job ${id}`, hint });
};
