import type { CommandHandlerTable } from './CommandHandlerTable.js';
import { handleShowStatus } from './handleShowStatus.js';

/** Commands about the state of a daemon. */
export const statusCommandHandlers: CommandHandlerTable = { showStatus: handleShowStatus };
