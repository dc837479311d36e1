import { answerCommand } from '../commands/answerCommand.js';
import type { CommandHandler } from '../commands/CommandHandler.js';

/** Answers with the settings in force. */
export const handleShowSettings: CommandHandler<'showSettings'> = (state, { from, requestId }) => {
  const data = state.settings.inForce;
  const refusal = { reason: 'no-settings', outcome: 'not-run' } as const;
  return data === null
    ? [
        answerCommand(from, requestId, { ok: false, refusal }),
        { type: 'countRefusal', reason: refusal.reason },
      ]
    : [answerCommand(from, requestId, { ok: true, data })];
};
