import type { HandlerTable } from '../HandlerTable.js';
import { handleCommand } from './handleCommand.js';

/** Event handlers of the commands feature. */
export const commandsHandlers: HandlerTable = { command: handleCommand };
