import type { CommandResult } from './CommandResult.js';

/** The answer to a `command` message. */
export interface CommandResultMessage {
  type: 'commandResult';
  requestId: string;
  result: CommandResult;
}
