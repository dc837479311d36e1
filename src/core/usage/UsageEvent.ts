import type { StoredRecord } from './StoredRecord.js';
import type { WorkerUsageLine } from './WorkerUsageLine.js';

/** Events about the usage record inside a daemon. */
export type UsageEvent =
  /** Derived: records to hand to the recorder. */
  | { type: 'usageNoted'; records: StoredRecord[] }
  /** A worker's late usage report was read. */
  | { type: 'workerUsageRead'; workerId: string; incarnation: string; lines: WorkerUsageLine[] };
