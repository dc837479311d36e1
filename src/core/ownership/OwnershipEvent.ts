import type { LeasePurpose } from './LeasePurpose.js';
import type { WorkerReport } from './WorkerReport.js';

/** Events about worker leases. */
export type OwnershipEvent =
  | {
      type: 'leaseAnswered';
      workerId: string;
      purpose: LeasePurpose;
      /** Monotonic time of the decision to call; never later than the actual sending. */
      sentAt: number;
      report: WorkerReport;
    }
  /** The call had no valid answer; it may have taken effect at the worker. */
  | { type: 'leaseFailed'; workerId: string; purpose: LeasePurpose; sentAt: number; error: string }
  /** Derived: this scheduler now holds the worker. */
  | { type: 'workerClaimed'; workerId: string; report: WorkerReport }
  /** Derived: a held worker answered a renewal. */
  | { type: 'workerRenewed'; workerId: string; report: WorkerReport }
  /** Derived: the worker's process restarted and forgot its tasks. */
  | { type: 'workerRestarted'; workerId: string }
  /** Derived: this scheduler no longer holds the worker. */
  | { type: 'workerLost'; workerId: string };
