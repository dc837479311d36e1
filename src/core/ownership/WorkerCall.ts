import type { LeasePurpose } from './LeasePurpose.js';

/** A call to a worker's control interface. */
export type WorkerCall =
  | {
      kind: 'lease';
      purpose: LeasePurpose;
      /** Monotonic time of the decision; echoed in the answer event. */
      sentAt: number;
      /** Name of the scheduler process, see `getHolderName`. */
      holder: string;
      /** Length of the lease on the worker. */
      leaseMs: number;
      /** Length of the lease of each renewed task. */
      taskLeaseMs: number;
      /** Ids of the tasks whose leases are extended; other tasks stop after `taskLeaseMs`. */
      renewTasks: string[];
    }
  | {
      kind: 'prepareTask';
      taskId: string;
      jobId: string;
      workspace: string;
      attempt: number;
      index: number;
      parts: number;
      accelerators: number;
      /** Time after which the task stops unless its lease is renewed. */
      leaseMs: number;
      payload: string;
      checkpoint?: string;
    }
  | { kind: 'startTask'; taskId: string }
  | { kind: 'stopTask'; taskId: string }
  | { kind: 'checkpointTask'; taskId: string };
