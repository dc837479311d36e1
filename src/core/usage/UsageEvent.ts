import type { StoredRecord } from './StoredRecord.js';
import type { WorkerUsageLine } from './WorkerUsageLine.js';

/** Events about usage records inside a daemon. */
export type UsageEvent =
  /** Derived: new records to send to the recorder. */
  | { type: 'usageNoted'; records: StoredRecord[] }
  /** A worker has answered with lines of its usage report. */
  | { type: 'workerUsageRead'; workerId: string; incarnation: string; lines: WorkerUsageLine[] };
