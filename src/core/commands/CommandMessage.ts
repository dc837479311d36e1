import type { Command } from './Command.js';

/** Forwards an authorized command from a gateway to the daemon that handles it. */
export interface CommandMessage {
  type: 'command';
  requestId: string;
  command: Command;
}
