import type { Command } from './Command.js';

/** A gateway passes an authorized command to the daemon that decides it. */
export interface CommandMessage {
  type: 'command';
  requestId: string;
  command: Command;
}
