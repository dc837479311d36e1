import type { CommandHandlerTable } from '../commands/CommandHandlerTable.js';
import { handleReportUsage } from './handleReportUsage.js';

/** Handlers of the commands on usage records, which a recorder answers. */
export const usageCommandHandlers: CommandHandlerTable = { reportUsage: handleReportUsage };
