import type { JobPlan } from '../plans/JobPlan.js';
import type { StepPlan } from '../plans/StepPlan.js';
import type { Task } from '../plans/Task.js';
import type { ProgressRecordName } from '../journal/ProgressRecordName.js';
import type { LeaderStream } from '../progress/LeaderStream.js';
import type { RefusedJob } from '../progress/RefusedJob.js';
import type { StreamWriter } from '../progress/StreamWriter.js';
import type { UsageTotal } from '../usage/UsageTotal.js';
import type { Worker } from '../workers/Worker.js';
import type { PredecessorState } from './PredecessorState.js';

/** State of the leader; discarded as a whole when the term ends. */
export interface Term {
  /** Fencing token. */
  token: number;
  /**
   * `fencing`: fences the former leader out of the streams; `reading`: reads the stored state;
   * `asking`: waits for the first listing of each worker; `scheduling`: places tasks.
   */
  phase: 'fencing' | 'reading' | 'asking' | 'scheduling';
  /** Monotonic time at which the phase began. */
  phaseStartedAt: number;
  /** Monotonic time at which the term began. */
  startedAt: number;
  /** Monotonic time at which the former leader was known to be fenced out of both streams; infinite before. */
  fencedAt: number;
  /** Monotonic time at which the newest of the successful appends was first sent: no successor had fenced it out. */
  confirmedAt: number;
  /** Monotonic time since which appends have succeeded without a long gap. */
  steadySince: number;
  /**
   * Whether this VM offers to hand over, because its reads of the journal fail while its appends succeed; it leads on
   * until a successor has claimed. `announcing`, `withdrawing`: the change is still to be written.
   */
  handover: 'none' | 'announcing' | 'offered' | 'withdrawing';
  /** State read from earlier terms. */
  predecessor: PredecessorState;
  /** Plans by job ID. */
  plans: Map<string, JobPlan>;
  /** Workers by ID. */
  workers: Map<string, Worker>;
  /** The invalid field of registry entries that name no usable worker, by worker ID. */
  invalidEntryFields: Map<string, string>;
  /** Gangs that lost a member; their other members have to be stopped. */
  incompleteGangs: Set<StepPlan>;
  /** By ID of the jobs whose progress has to be written, the tasks whose rows have changed. */
  unwrittenTasks: Map<string, Set<Task>>;
  /** Jobs whose progress the store refused, by ID. */
  refusedJobs: Map<string, RefusedJob>;
  /** IDs of jobs whose state has to be published. */
  unpublishedJobIds: Set<string>;
  /** Records of progress that no job needs any more, which have to be dropped. */
  orphanedRecords: ProgressRecordName[];
  writers: Record<LeaderStream, StreamWriter>;
  /** Recent demand of urgent (priority 0) jobs. */
  urgentDemand: {
    /** Decaying peak of the accelerators that they need. */
    peakGpu: number;
    /** Monotonic time at which `peakGpu` was updated. */
    updatedAt: number;
    /** Epoch milliseconds at which the newest of them was accepted, or 0. */
    newestAcceptedAt: number;
    /** Monotonic time at which `newestAcceptedAt` last changed. */
    newestObservedAt: number;
  };
  /** Usage totals by usage key, and the keys of those that have to be written. */
  usage: { totals: Map<string, UsageTotal>; unwrittenKeys: Set<string> };
  /** Smoothed logarithm of actual over declared run time, by queue name. */
  logOverrunByQueue: Map<string, number>;
  /** Monotonic time at which worker speeds were last written. */
  speedsWrittenAt: number;
  /** IDs of the workers that the last placement pass reserved for urgent jobs. */
  urgentWorkerIds: Set<string>;
  /** Whether listed run ends are still to be acknowledged. */
  endAcksDue: boolean;
  /** Monotonic time of the last placement pass. */
  lastPlacementAt: number;
  /** Monotonic time before which no pass starts: a pass over a long backlog is repeated less often. */
  nextPlacementAt: number;
  /** Whether a change since the last placement pass may allow a placement. */
  placementDue: boolean;
}
