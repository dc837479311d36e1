import type { AppendQueue } from './AppendQueue.js';
import type { HeldBatch } from './HeldBatch.js';
import type { OutboxBatch } from './OutboxBatch.js';
import type { RecordedRun } from './RecordedRun.js';
import type { ReplicaBatch } from './ReplicaBatch.js';
import type { UsageCopies } from './UsageCopies.js';
import type { UsageCursor } from './UsageCursor.js';
import type { StoredRecord } from './StoredRecord.js';
import type { UsageReport } from './UsageReport.js';
import type { UsageStream } from './UsageStream.js';

/**
 * Usage records that are not in the log yet; the fields from `heldBatches` on are used by recorders
 * only.
 */
export interface UsageState {
  /** Batches sent and not yet reported as stored, by batch id. */
  sentBatches: Map<string, OutboxBatch>;
  /** Records not yet in a batch. */
  unsentRecords: StoredRecord[];
  /** Part of the next batch's id. */
  nextBatchNumber: number;
  /** Monotonic time at which unsent records are next sent. */
  nextBatchAt: number;
  /** Monotonic time at which the gauge of unacknowledged records is next reported. */
  nextGaugeAt: number;
  /** Tasks recorded by this process and not yet compared with the worker's report, by task id. */
  recordedRuns: Map<string, RecordedRun>;
  copies: UsageCopies;
  /** Progress of the comparison with the usage reports, by worker id. */
  cursors: Map<string, UsageCursor>;
  /** Batches that the log has not acknowledged, by batch id. */
  heldBatches: Map<string, HeldBatch>;
  /** Ids of held batches without an acknowledged copy on another VM. */
  unreplicatedBatches: Set<string>;
  appendQueues: Record<UsageStream, AppendQueue>;
  /** Part of the next append's id. */
  nextAppendNumber: number;
  /** Copies held for other VMs, by batch id. */
  replicas: Map<string, ReplicaBatch>;
  /** Batch ids of copies whose origin is disconnected. */
  orphanedReplicas: Set<string>;
  /** Usage reports being read from the log. */
  reports: Set<UsageReport>;
  /** Part of the next read's id. */
  nextReadNumber: number;
}
