import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { addScanPage } from './addScanPage.js';
import { answerScan } from './answerScan.js';
import { readScan } from './readScan.js';

/** Adds a page to its scan, and answers at the end of the stream. */
export const handleScanRead = (state: State, event: EventOf<'logRead'>): Effect[] => {
  const scan = [...state.recovery.scans.values()].find(({ readId }) => readId === event.readId);
  if (!scan) return [];
  scan.readId = null;
  addScanPage(scan, event.records);
  const isAtEnd = event.records.length === 0 && event.oldestOffset <= scan.nextOffset;
  scan.nextOffset = Math.max(event.nextOffset, event.oldestOffset);
  if (!isAtEnd) return readScan(state, scan);
  state.recovery.scans.delete(scan.from);
  return answerScan(scan);
};
