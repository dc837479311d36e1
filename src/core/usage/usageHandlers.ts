import type { HandlerTable } from '../HandlerTable.js';
import { handleLinkClosed } from './handleLinkClosed.js';
import { handleSchedulerLinked } from './handleSchedulerLinked.js';
import { handleUsageCopy } from './handleUsageCopy.js';
import { handleReportRead } from './handleReportRead.js';
import { handleReportReadFailed } from './handleReportReadFailed.js';
import { handleUsageAppended } from './handleUsageAppended.js';
import { handleUsageAppendFailed } from './handleUsageAppendFailed.js';
import { handleUsageDurable } from './handleUsageDurable.js';
import { handleUsageNoted } from './handleUsageNoted.js';
import { handleUsageRecords } from './handleUsageRecords.js';
import { handleUsageReplica } from './handleUsageReplica.js';
import { handleUsageReplicaAck } from './handleUsageReplicaAck.js';
import { handleUsageStored } from './handleUsageStored.js';
import { handleWorkerUsageRead } from './handleWorkerUsageRead.js';
import { handleTick } from './handleTick.js';

/** Handlers of the usage feature. */
export const usageHandlers: HandlerTable = {
  tick: handleTick,
  linkClosed: handleLinkClosed,
  linkOpened: handleSchedulerLinked,
  usageCopy: handleUsageCopy,
  usageNoted: handleUsageNoted,
  workerUsageRead: handleWorkerUsageRead,
  usageRecords: handleUsageRecords,
  usageStored: handleUsageStored,
  usageReplica: handleUsageReplica,
  usageReplicaAck: handleUsageReplicaAck,
  usageDurable: handleUsageDurable,
  logAppended: handleUsageAppended,
  logAppendFailed: handleUsageAppendFailed,
  logRead: handleReportRead,
  logReadFailed: handleReportReadFailed,
};
