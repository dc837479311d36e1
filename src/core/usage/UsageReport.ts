import type { StreamRead } from '../log/StreamRead.js';
import type { NodeId } from '../NodeId.js';
import type { UsageRecord } from './UsageRecord.js';

/** A `reportUsage` command whose records are being read from the log. */
export interface UsageReport extends StreamRead {
  requester: NodeId;
  requestId: string;
  workspace: string;
  fromWall: number;
  toWall: number;
  deadlineAt: number;
  /** Oldest offset that the log still has; older records are missing from the report. */
  oldestOffset: number;
  records: UsageRecord[];
}
