import type { LogRecord } from '../log/LogRecord.js';

/** Read position of a recorder in the `settings` stream. */
export interface SettingsTail {
  /** Offset to read next. */
  nextOffset: number;
  /** Id of the read in flight; null if none is. */
  readId: string | null;
  /** Monotonic time of the newest read. */
  readSentAt: number;
  /** Monotonic time before which no read is sent. */
  nextReadAt: number;
  /** Part of the next read's id. */
  nextReadNumber: number;
  /**
   * Whether records between the projection and `nextOffset` have expired. Proposals are then
   * skipped until a tree record that includes the missing records is found.
   */
  hasGap: boolean;
  /** Newest tree record seen that does not include all expired records; null if none. */
  lastTreeRecord: LogRecord | null;
}
