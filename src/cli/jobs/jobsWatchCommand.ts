import { err, ok, type Result } from 'neverthrow';
import type { CliCommand } from '../CliCommand.js';
import type { CliContext } from '../CliContext.js';
import type { CliError } from '../CliError.js';
import type { CliOutput } from '../CliOutput.js';
import type { ExitName } from '../ExitName.js';
import { buildJobPath } from '../http/buildJobPath.js';
import { callApi } from '../http/callApi.js';
import { buildJobTable } from './buildJobTable.js';
import { jobSchema } from './jobSchema.js';
import type { ShownJob } from './ShownJob.js';

const pollEveryMs = 1000;

/** Failed polls in a row before the watch ends; covers the takeover of a zone, about 5 s. */
const maxFailures = 15;

const exitByState: Readonly<Record<string, ExitName>> = {
  finished: 'ok',
  failed: 'job-not-finished',
  cancelled: 'job-not-finished',
};

const isTransient = (error: CliError): boolean =>
  error.type === 'unreachable' || (error.type === 'refused' && error.problem.status >= 500);

const describeState = (job: ShownJob): string =>
  `${job.id}: ${job.state}${typeof job.reason !== 'string' ? '' : ` (${job.reason})`}`;

const waitForEnd = async (
  context: CliContext,
  path: string,
): Promise<Result<CliOutput, CliError>> => {
  let shown = '';
  for (let failures = 0; ;) {
    // eslint-disable-next-line no-await-in-loop -- each poll follows the one before
    const answer = await callApi(context, jobSchema, { method: 'GET', path });
    failures = answer.isOk() ? 0 : failures + 1;
    if (answer.isErr() && (!isTransient(answer.error) || failures >= maxFailures)) {
      return err(answer.error);
    }
    if (answer.isOk()) {
      const text = describeState(answer.value);
      if (text !== shown) context.printProgress(text);
      shown = text;
      const exit = exitByState[answer.value.state];
      if (exit) return ok({ data: answer.value, view: buildJobTable([answer.value]), exit });
    }
    // eslint-disable-next-line no-await-in-loop -- each poll follows the one before
    await context.waitMs(pollEveryMs);
  }
};

/** Watches one job until it ends. */
export const jobsWatchCommand: CliCommand = {
  name: 'jobs watch',
  args: '<workspace> <id>',
  description: 'Print each change of state until the job ends',
  options: [],
  examples: ['labels k0123456789abcdef01234567'],
  run: (context) => {
    const [workspace = '', id = ''] = context.args;
    return waitForEnd(context, buildJobPath(workspace, id));
  },
};
