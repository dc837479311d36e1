import { answerCommand } from '../commands/answerCommand.js';
import type { CommandHandler } from '../commands/CommandHandler.js';

/** Answers with the newest verdicts, oldest first, optionally of one subtree. */
export const handleListProposals: CommandHandler<'listProposals'> = (
  state,
  { from, requestId, command },
) => {
  const data = state.settings.projection.verdicts.filter(
    ({ path }) => command.path === undefined || path === command.path,
  );
  return [answerCommand(from, requestId, { ok: true, data })];
};
