import { err, ok, type Result } from 'neverthrow';
import type { CliCommand } from '../CliCommand.js';
import type { CliContext } from '../CliContext.js';
import type { CliError } from '../CliError.js';
import type { CliOutput } from '../CliOutput.js';
import type { ExitReason } from '../ExitReason.js';
import { buildJobPath } from '../http/buildJobPath.js';
import { callApi } from '../http/callApi.js';
import { buildJobTable } from './buildJobTable.js';
import { jobSchema } from './jobSchema.js';
import type { ApiJob } from './ApiJob.js';

const pollIntervalMs = 1000;

/** Failed polls in a row that end the watch; they outlast the takeover of a zone, about 5 s. */
const maxConsecutiveFailures = 15;

const exitReasonByState: Readonly<Record<string, ExitReason>> = {
  finished: 'ok',
  failed: 'job-not-finished',
  cancelled: 'job-not-finished',
};

const isTransient = (error: CliError): boolean =>
  error.type === 'unreachable' || (error.type === 'refused' && error.problem.status >= 500);

const describeState = (job: ApiJob): string =>
  `${job.id}: ${job.state}${typeof job.reason !== 'string' ? '' : ` (${job.reason})`}`;

const waitForEnd = async (
  context: CliContext,
  path: string,
): Promise<Result<CliOutput, CliError>> => {
  let lastPrinted = '';
  for (let consecutiveFailures = 0; ;) {
    // eslint-disable-next-line no-await-in-loop -- each poll follows the one before
    const response = await callApi(context, jobSchema, { method: 'GET', path });
    consecutiveFailures = response.isOk() ? 0 : consecutiveFailures + 1;
    if (
      response.isErr() &&
      (!isTransient(response.error) || consecutiveFailures >= maxConsecutiveFailures)
    ) {
      return err(response.error);
    }
    if (response.isOk()) {
      const text = describeState(response.value);
      if (text !== lastPrinted) context.printProgress(text);
      lastPrinted = text;
      const exit = exitReasonByState[response.value.state];
      if (exit) return ok({ data: response.value, view: buildJobTable([response.value]), exit });
    }
    // eslint-disable-next-line no-await-in-loop -- each poll follows the one before
    await context.wait(pollIntervalMs);
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
