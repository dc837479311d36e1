import type { LogRecord } from '../log/LogRecord.js';

/** Position of a recorder in the `settings` stream. */
export interface SettingsTail {
  /** Offset to read next. */
  nextOffset: number;
  /** Id of the read in flight, or null. */
  readId: string | null;
  readSentAt: number;
  nextReadAt: number;
  nextReadNumber: number;
  /**
   * Whether records between the fold and `from` have expired. Proposals are then skipped until a
   * tree record closes the gap.
   */
  hasGap: boolean;
  /** Newest tree record seen in the gap that does not close it. */
  lastTreeRecord: LogRecord | null;
}
