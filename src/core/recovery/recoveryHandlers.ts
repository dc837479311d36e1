import type { HandlerTable } from '../HandlerTable.js';
import { handleJobsQuery } from './handleJobsQuery.js';
import { handleJobsRecovered } from './handleJobsRecovered.js';
import { handleLeadChanged } from './handleLeadChanged.js';
import { handleLinkClosed } from './handleLinkClosed.js';
import { handleScanRead } from './handleScanRead.js';
import { handleScanReadFailed } from './handleScanReadFailed.js';
import { handleTick } from './handleTick.js';

/** Handlers of the recovery feature. */
export const recoveryHandlers: HandlerTable = {
  tick: handleTick,
  leadChanged: handleLeadChanged,
  linkClosed: handleLinkClosed,
  jobsQuery: handleJobsQuery,
  jobsRecovered: handleJobsRecovered,
  logRead: handleScanRead,
  logReadFailed: handleScanReadFailed,
};
