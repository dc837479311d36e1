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
  cutOff: boolean;
  /** Time of its start; its clock counts from there. */
  bootAt: number;
  token: number;
  leaseUntil: number;
  running: Map<string, FakeRun>;
  ended: { number: number; run: FakeRun }[];
  lastEnd: number;
  /** Highest run of each task that was stopped or has ended here. */
  over: Map<string, number>;
  /** All runs end as failed. */
  failing: boolean;
  /** Rate at which it works, against a usual worker. */
  speed: number;
  /** Nothing that runs moves on. */
  hanging: boolean;
  /** Looks that wait for an end. */
  waiters: Set<() => void>;
}
