import type { CommandHandlerTable } from '../commands/CommandHandlerTable.js';

/** Commands about jobs; a scheduler answers them. */
export const jobsCommandHandlers: CommandHandlerTable = {};
