import type { Effect } from '../Effect.js';
import type { NodeId } from '../NodeId.js';
import type { CommandResult } from './CommandResult.js';

/** Builds the effect that sends the result of a command to the gateway that forwarded it. */
export const answerCommand = (to: NodeId, requestId: string, result: CommandResult): Effect => ({
  type: 'send',
  to,
  message: { type: 'commandResult', requestId, result },
});
