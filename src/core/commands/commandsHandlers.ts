import type { HandlerTable } from '../HandlerTable.js';
import { handleCommand } from './handleCommand.js';

/** Handlers of the commands feature. */
export const commandsHandlers: HandlerTable = { command: handleCommand };
