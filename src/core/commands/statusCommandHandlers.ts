import type { CommandHandlerTable } from './CommandHandlerTable.js';

/** Commands about the state of a daemon. */
export const statusCommandHandlers: CommandHandlerTable = {};
