import type { LogRecord } from '../log/LogRecord.js';

/** Position of a recorder in the `settings` stream. */
export interface SettingsTail {
  /** Offset to read next. */
  from: number;
  /** Id of the read in flight, or null. */
  readId: string | null;
  sentAt: number;
  nextReadAt: number;
  nextRead: number;
  /**
   * Whether records between the fold and `from` have expired. Proposals are then skipped until a
   * tree record closes the gap.
   */
  gap: boolean;
  /** Newest tree record seen in the gap that does not close it. */
  lastTree: LogRecord | null;
}
