import type { EventOf } from '../EventOf.js';
import type { LogRecord } from '../log/LogRecord.js';
import { applyRecord } from './applyRecord.js';
import { isTreeRecord } from './isTreeRecord.js';
import type { SettingsState } from './SettingsState.js';

// Tells whether the projection could be restarted from the record.
const restartFrom = (settings: SettingsState, record: LogRecord, oldestOffset: number): boolean => {
  const projection = applyRecord(settings.projection, record);
  // A record that doesn't replace the projection moves it to the record's own offset.
  if (projection.offset >= record.offset) return false;
  if (projection.offset + 1 < oldestOffset) return false;
  settings.projection = projection;
  settings.tail.hasGap = false;
  settings.tail.lastTreeRecord = null;
  settings.tail.nextOffset = projection.offset + 1;
  return true;
};

/**
 * Finds a tree record that includes every expired record and restarts the projection from it. At
 * the end of the stream, the newest tree record is used even if records after its offset have
 * expired, because there is no better one.
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
