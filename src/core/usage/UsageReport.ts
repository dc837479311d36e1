import type { NodeId } from '../NodeId.js';
import type { UsageRecord } from './UsageRecord.js';

/** A `reportUsage` command whose records are being read from the log. */
export interface UsageReport {
  from: NodeId;
  requestId: string;
  workspace: string;
  fromWall: number;
  toWall: number;
  /** Id of the read in flight, or null while a failed one waits for its repetition. */
  readId: string | null;
  nextReadAt: number;
  deadlineAt: number;
  nextOffset: number;
  /** Oldest offset that the log still has; older records are missing from the report. */
  oldestOffset: number;
  records: UsageRecord[];
}
