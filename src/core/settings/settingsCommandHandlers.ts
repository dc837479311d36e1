import type { CommandHandlerTable } from '../commands/CommandHandlerTable.js';

/** Commands about settings; a recorder answers them. */
export const settingsCommandHandlers: CommandHandlerTable = {};
