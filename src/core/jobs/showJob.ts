import { answerCommand } from '../commands/answerCommand.js';
import type { CommandHandler } from '../commands/CommandHandler.js';
import { describeJob } from './describeJob.js';
import { explainJob } from './explainJob.js';

/** Answers with one job and why it waits. Cost: that of `explainJob`. */
export const showJob: CommandHandler<'showJob'> = (state, { requestId, from, at, command }) => {
  const job = state.jobs.jobs.get(command.jobId);
  if (job?.workspace !== command.workspace) {
    const refusal = { reason: 'unknown-job', outcome: 'not-run' } as const;
    return [
      { type: 'countRefusal', reason: refusal.reason },
      answerCommand(from, requestId, { ok: false, refusal }),
    ];
  }
  const data = { ...describeJob(job), explanation: explainJob(state, job, at) };
  return [answerCommand(from, requestId, { ok: true, data })];
};
