import { answerCommand } from '../commands/answerCommand.js';
import type { CommandHandler } from '../commands/CommandHandler.js';
import { createRefusal } from '../createRefusal.js';
import { describeJob } from './describeJob.js';
import { explainJob } from './explainJob.js';
import { refuseCommand } from './refuseCommand.js';

/** Answers with one job and an explanation of its state. Cost: that of `explainJob`. */
export const showJob: CommandHandler<'showJob'> = (state, request) => {
  const { requestId, from, at, command } = request;
  const job = state.jobs.jobs.get(command.jobId);
  if (job?.workspace !== command.workspace)
    return refuseCommand(request, createRefusal('unknown-job'));
  const data = { ...describeJob(job), explanation: explainJob(state, job, at) };
  return [answerCommand(from, requestId, { ok: true, data })];
};
