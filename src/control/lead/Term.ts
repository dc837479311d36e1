import type { JobPlan } from '../plans/JobPlan.js';
import type { StepPlan } from '../plans/StepPlan.js';
import type { LeaderStream } from '../progress/LeaderStream.js';
import type { StreamWriter } from '../progress/StreamWriter.js';
import type { UsageTotal } from '../usage/UsageTotal.js';
import type { Worker } from '../workers/Worker.js';
import type { PredecessorState } from './PredecessorState.js';

/** State of the lead; it is dropped as a whole when the term ends. */
export interface Term {
  /** Fencing token. */
  token: number;
  phase: 'fencing' | 'reading' | 'asking' | 'scheduling';
  /** Monotonic time at which the phase began. */
  phaseStartedAt: number;
  /** Monotonic time at which the term began. */
  startedAt: number;
  /** What was read of earlier terms; empty once the plans are built. */
  predecessor: PredecessorState;
  plans: Map<string, JobPlan>;
  workers: Map<string, Worker>;
  /** Gangs that lost a member; the others have to stop. */
  incompleteGangs: Set<StepPlan>;
  /** Jobs whose progress has to be written. */
  dirtyJobs: Set<string>;
  /** Jobs whose state has to be published. */
  unpublishedJobs: Set<string>;
  /** Jobs without a submission whose progress has to be dropped. */
  orphanedJobs: Set<string>;
  writers: Record<LeaderStream, StreamWriter>;
  /**
   * Recent peak of the accelerators that urgent work needs, and when it was noted; the epoch
   * milliseconds at which the newest urgent job was accepted, and when that was noted.
   */
  urgentDemand: {
    peakGpu: number;
    updatedAt: number;
    newestAcceptedAt: number;
    newestObservedAt: number;
  };
  /** Use of the workspaces by day, and the totals that have to be written. */
  usage: { totals: Map<string, UsageTotal>; unwrittenKeys: Set<string> };
  /** Smoothed logarithm of run times over declared ones, by queue. */
  logOverrunByQueue: Map<string, number>;
  /** Monotonic time at which speeds were last written. */
  speedsWrittenAt: number;
  /** Workers that the last placement pass kept for urgent work. */
  reservedWorkers: Set<string>;
  /** Ends were listed that are not acknowledged. */
  endAcksDue: boolean;
  /** Monotonic time of the last placement pass. */
  lastPlacementAt: number;
  /** Something changed that may allow a placement. */
  placementDue: boolean;
}
