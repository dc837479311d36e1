import type { LogRecord } from '../log/LogRecord.js';
import { isTreeRecord } from './isTreeRecord.js';
import type { SettingsState } from './SettingsState.js';

/**
 * Updates the time at which the log stored the newest tree record, or the first record without one.
 */
export const updateTreeRecordWall = (settings: SettingsState, records: LogRecord[]): void => {
  const wall = records.findLast(isTreeRecord)?.wall ?? settings.treeRecordWall ?? records[0]?.wall;
  settings.treeRecordWall = wall ?? null;
};
