import type { EventOf } from '../EventOf.js';
import type { LogRecord } from '../log/LogRecord.js';
import { applyRecord } from './applyRecord.js';
import { isTreeRecord } from './isTreeRecord.js';
import type { SettingsState } from './SettingsState.js';

const restartFrom = (settings: SettingsState, record: LogRecord, oldestOffset: number): boolean => {
  const projection = applyRecord(settings.projection, record);
  // Accepting any other record moves the fold to that record's own offset.
  if (projection.offset >= record.offset) return false;
  if (projection.offset + 1 < oldestOffset) return false;
  settings.projection = projection;
  settings.tail.hasGap = false;
  settings.tail.lastTreeRecord = null;
  settings.tail.nextOffset = projection.offset + 1;
  return true;
};

/**
 * Looks for a tree record that includes every expired record, and restarts the fold from it. At
 * the end of the stream the newest tree record serves even if records after its fold have expired,
 * because nothing better is left.
 */
export const closeGap = (settings: SettingsState, event: EventOf<'logRead'>): void => {
  const { tail } = settings;
  const treeRecords = event.records.filter(isTreeRecord);
  if (treeRecords.some((record) => restartFrom(settings, record, event.oldestOffset))) return;
  tail.nextOffset = event.nextOffset;
  tail.lastTreeRecord = treeRecords.at(-1) ?? tail.lastTreeRecord;
  if (event.records.length > 0 || tail.lastTreeRecord === null) return;
  if (restartFrom(settings, tail.lastTreeRecord, 0)) {
    tail.nextOffset = Math.max(tail.nextOffset, event.oldestOffset);
  }
};
