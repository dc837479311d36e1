import type { EventOf } from '../EventOf.js';
import type { LogRecord } from '../log/LogRecord.js';
import { applyRecord } from './applyRecord.js';
import { isTreeRecord } from './isTreeRecord.js';
import type { SettingsState } from './SettingsState.js';

const startFrom = (settings: SettingsState, record: LogRecord, oldestOffset: number): boolean => {
  const fold = applyRecord(settings.projection, record);
  // Accepting any other record moves the fold to that record's own offset.
  if (fold.offset >= record.offset) return false;
  if (fold.offset + 1 < oldestOffset) return false;
  settings.projection = fold;
  settings.tail.hasGap = false;
  settings.tail.lastTreeRecord = null;
  settings.tail.nextOffset = fold.offset + 1;
  return true;
};

/**
 * Looks for a tree record that includes every expired record, and restarts the fold from it. At
 * the end of the stream the newest tree record serves even if records after its fold have expired,
 * because nothing better is left.
 */
export const closeGap = (settings: SettingsState, event: EventOf<'logRead'>): void => {
  const { tail } = settings;
  const trees = event.records.filter(isTreeRecord);
  if (trees.some((record) => startFrom(settings, record, event.oldestOffset))) return;
  tail.nextOffset = event.nextOffset;
  tail.lastTreeRecord = trees.at(-1) ?? tail.lastTreeRecord;
  if (event.records.length > 0 || tail.lastTreeRecord === null) return;
  if (startFrom(settings, tail.lastTreeRecord, 0)) {
    tail.nextOffset = Math.max(tail.nextOffset, event.oldestOffset);
  }
};
