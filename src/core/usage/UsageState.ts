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

/** Usage records on their way to the log; the fields after `runs` are used by recorders only. */
export interface UsageState {
  /** Batches sent and not yet reported stored, by batch id. */
  sentBatches: Map<string, OutboxBatch>;
  /** Records not yet in a batch. */
  unsentRecords: StoredRecord[];
  nextBatchNumber: number;
  nextBatchAt: number;
  nextGaugeAt: number;
  /** Tasks recorded by this process and not yet compared with the worker's report. */
  recordedRuns: Map<string, RecordedRun>;
  copies: UsageCopies;
  /** Progress of the comparison with each worker's usage report. */
  cursors: Map<string, UsageCursor>;
  /** Batches that the log has not acknowledged, by batch id. */
  heldBatches: Map<string, HeldBatch>;
  /** Ids of held batches without an acknowledged copy on another VM. */
  unreplicatedBatches: Set<string>;
  appendQueues: Record<UsageStream, AppendQueue>;
  nextAppendNumber: number;
  /** Copies held for other VMs, by batch id. */
  replicas: Map<string, ReplicaBatch>;
  /** Ids of copies whose origin's link is lost. */
  orphanedReplicas: Set<string>;
  reports: Set<UsageReport>;
  nextReadNumber: number;
}
