import { answerCommand } from '../commands/answerCommand.js';
import type { CommandHandler } from '../commands/CommandHandler.js';

/** Answers with the jobs of a workspace. Cost: O(jobs of the workspace). */
export const listJobs: CommandHandler<'listJobs'> = (state, { requestId, from, command }) => {
  const ids = [...(state.jobs.jobsByWorkspace.get(command.workspace) ?? [])];
  const data = ids
    .flatMap((id) => state.jobs.jobs.get(id) ?? [])
    .map(({ id, state: jobState, attempt, submittedWall }) => ({
      id,
      state: jobState,
      attempt,
      submittedWall,
    }));
  return [answerCommand(from, requestId, { ok: true, data })];
};
