import type { CommandResult } from './CommandResult.js';

/** Carries the result of a `command` message back to the gateway. */
export interface CommandResultMessage {
  type: 'commandResult';
  requestId: string;
  result: CommandResult;
}
