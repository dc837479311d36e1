import type { LogRecord } from '../log/LogRecord.js';
import { isTreeRecord } from './isTreeRecord.js';
import type { SettingsState } from './SettingsState.js';

/** Remembers when the log stored the newest tree record, or its oldest record if none is known. */
export const updateTreeRecordWall = (settings: SettingsState, records: LogRecord[]): void => {
  const wall = records.findLast(isTreeRecord)?.wall ?? settings.treeRecordWall ?? records[0]?.wall;
  settings.treeRecordWall = wall ?? null;
};
