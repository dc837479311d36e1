import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import { advanceRead } from '../log/advanceRead.js';
import type { State } from '../State.js';
import { addScanPage } from './addScanPage.js';
import { sendOpenJobs } from './sendOpenJobs.js';
import { findScan } from './findScan.js';
import { readScanPage } from './readScanPage.js';

/** Adds a page to its scan and answers the query at the end of the stream. */
export const handleScanRead = (state: State, event: EventOf<'logRead'>): Effect[] => {
  const scan = findScan(state.recovery, event.readId);
  if (!scan) return [];
  addScanPage(scan, event.records);
  if (!advanceRead(scan, event)) return readScanPage(state, scan);
  state.recovery.scans.delete(scan.requester);
  return sendOpenJobs(scan);
};
