import type { CommandHandlerTable } from '../commands/CommandHandlerTable.js';
import { handleReportUsage } from './handleReportUsage.js';

/** Commands about the usage record; a recorder answers them. */
export const usageCommandHandlers: CommandHandlerTable = { reportUsage: handleReportUsage };
