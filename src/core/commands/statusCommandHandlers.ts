import type { CommandHandlerTable } from './CommandHandlerTable.js';
import { handleShowStatus } from './handleShowStatus.js';

/** Handlers of the commands that show the state of a daemon. */
export const statusCommandHandlers: CommandHandlerTable = { showStatus: handleShowStatus };
