import type { WorkerEntry } from '../../../src/control/workers/WorkerEntry.js';
import type { FakeRun } from './FakeRun.js';

/** A worker of the fake platform. */
export interface FakeWorker {
  id: string;
  entry: WorkerEntry;
  up: boolean;
  /** It has announced that it leaves. */
  draining: boolean;
  /** Runs on behind a cut. */
  partitioned: boolean;
  /** Time of its start; its clock counts from there. */
  bootAt: number;
  highestToken: number;
  leaseExpiryMs: number;
  running: Map<string, FakeRun>;
  unacknowledgedEnds: { number: number; run: FakeRun }[];
  lastEndNumber: number;
  /** Highest run of each task that was stopped or has ended here. */
  endedRunByTask: Map<string, number>;
  /** All runs end as failed. */
  failing: boolean;
  /** Rate at which it works, against a usual worker. */
  speed: number;
  /** Nothing that runs moves on. */
  stalled: boolean;
  /** Looks that wait for an end. */
  pendingHolds: Set<() => void>;
}
