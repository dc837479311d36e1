import { err, ok, type Result } from 'neverthrow';
import type { CliContext } from '../CliContext.js';
import type { CliError } from '../CliError.js';
import { buildJobPath } from '../http/buildJobPath.js';
import { callApi } from '../http/callApi.js';
import { jobSchema } from '../jobs/jobSchema.js';
import type { ShownJob } from '../jobs/ShownJob.js';
import { snapshotSchema } from '../settings/snapshotSchema.js';

const skipped = new Set(['unknown-job', 'forbidden']);

const listWorkspaces = async (context: CliContext): Promise<Result<string[], CliError>> => {
  const { workspace } = context.options;
  if (workspace !== undefined) return ok([workspace]);
  const answer = await callApi(context, snapshotSchema, { method: 'GET', path: '/v1/settings' });
  return answer.map(({ tree }) =>
    Object.values(tree.teams).flatMap(({ workspaces }) => Object.keys(workspaces)),
  );
};

/** Finds a job by its id in the named workspace, or in all workspaces that the token opens. */
export const findJob = async (
  context: CliContext,
  id: string,
): Promise<Result<ShownJob, CliError>> => {
  const workspaces = await listWorkspaces(context);
  if (workspaces.isErr()) return err(workspaces.error);
  for (const workspace of workspaces.value) {
    const call = { method: 'GET', path: buildJobPath(workspace, id) };
    // eslint-disable-next-line no-await-in-loop -- the search ends at the first that has the job
    const answer = await callApi(context, jobSchema, call);
    if (answer.isOk()) return answer;
    const { error } = answer;
    if (error.type !== 'refused' || !skipped.has(error.problem.code)) return err(error);
  }
  const hint = 'Check the id with "siskin jobs list WORKSPACE", and that the token opens it.';
  return err({ type: 'usage', message: `no accessible workspace has a job ${id}`, hint });
};
