import type { WorkerEntry } from '../../../src/control/workers/WorkerEntry.js';
import type { FakeRun } from './FakeRun.js';

/** A worker of the fake platform. */
export interface FakeWorker {
  id: string;
  entry: WorkerEntry;
  up: boolean;
  /** Whether it is draining. */
  draining: boolean;
  /** Whether no VM can reach it; its runs continue. */
  partitioned: boolean;
  /** Time of its start, which is the zero of its clock. */
  bootAt: number;
  highestToken: number;
  leaseExpiryMs: number;
  running: Map<string, FakeRun>;
  unacknowledgedEnds: { sequenceNumber: number; run: FakeRun }[];
  lastEndNumber: number;
  /** Highest run number of each task that was stopped or has ended here. */
  endedRunByTask: Map<string, number>;
  /** Whether its runs end as failed. */
  failing: boolean;
  /** Speed relative to a typical worker. */
  speed: number;
  /** Whether its runs make no progress. */
  stalled: boolean;
  /** Hold calls that wait for the next end. */
  pendingHolds: Set<() => void>;
}
