import type { StreamRead } from '../log/StreamRead.js';
import type { NodeId } from '../NodeId.js';
import type { UsageRecord } from './UsageRecord.js';

/** A `reportUsage` command for which the `usage` stream is being read. */
export interface UsageReport extends StreamRead {
  /** Gateway that waits for the invoice. */
  requester: NodeId;
  requestId: string;
  workspace: string;
  /** Start of the period in epoch milliseconds, included. */
  fromWall: number;
  /** End of the period in epoch milliseconds, excluded. */
  toWall: number;
  /** Monotonic time after which the command is refused. */
  deadlineAt: number;
  /** Oldest offset that the log still has; older records are missing. */
  oldestOffset: number;
  /** Records of the workspace read so far. */
  records: UsageRecord[];
}
