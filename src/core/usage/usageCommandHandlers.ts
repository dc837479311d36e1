import type { CommandHandlerTable } from '../commands/CommandHandlerTable.js';

/** Commands about the usage record; a recorder answers them. */
export const usageCommandHandlers: CommandHandlerTable = {};
