import type { WorkerEntry } from '../../../src/control/workers/WorkerEntry.js';
import type { FakeRun } from './FakeRun.js';

/** A worker of the fake platform. */
export interface FakeWorker {
  id: string;
  /** Its registry entry while it is ready. */
  entry: WorkerEntry;
  up: boolean;
  /** Whether it is draining; its entry says so again when it is published after a partition. */
  draining: boolean;
  /** Whether no VM can reach it; its runs continue. */
  partitioned: boolean;
  /** Virtual time at the zero of its clock: its start, unless the rate of the clock has changed since. */
  clockZeroAt: number;
  /** Rate of its clock relative to virtual time. */
  clockRate: number;
  /** Highest fencing token of a call so far. */
  highestToken: number;
  /** Time on its own clock at which its lease expires. */
  leaseExpiryMs: number;
  /** Runs in progress, by task. */
  running: Map<string, FakeRun>;
  /** Ended runs, listed in answers to polls until a leader acknowledges them. */
  unacknowledgedEnds: { sequenceNumber: number; run: FakeRun }[];
  /** Sequence number of the last end, or 0. */
  lastEndNumber: number;
  /** Highest run number of each task that was stopped or has ended here. */
  endedRunByTask: Map<string, number>;
  /** Whether it refuses every start as an unhealthy worker does. */
  refusingStarts: boolean;
  /** Whether its runs end as failed. */
  failing: boolean;
  /** Speed relative to a typical worker. */
  speed: number;
  /** Whether its runs make no progress. */
  stalled: boolean;
  /** Answers the polls that wait for the next end of a run. */
  pendingPolls: Set<() => void>;
}
