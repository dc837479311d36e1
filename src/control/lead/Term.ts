import type { JobPlan } from '../plans/JobPlan.js';
import type { StepPlan } from '../plans/StepPlan.js';
import type { LeadStream } from '../progress/LeadStream.js';
import type { LeadWriter } from '../progress/LeadWriter.js';
import type { UsageTotal } from '../usage/UsageTotal.js';
import type { Worker } from '../workers/Worker.js';
import type { FormerTerm } from './FormerTerm.js';

/** State of the lead; it is dropped as a whole when the term ends. */
export interface Term {
  /** Fencing token. */
  token: number;
  phase: 'fencing' | 'reading' | 'asking' | 'scheduling';
  /** Monotonic time at which the phase began. */
  phaseSince: number;
  /** Monotonic time at which the term began. */
  since: number;
  /** What was read of earlier terms; empty once the plans are built. */
  former: FormerTerm;
  plans: Map<string, JobPlan>;
  workers: Map<string, Worker>;
  /** Gangs that lost a member; the others have to stop. */
  brokenGangs: Set<StepPlan>;
  /** Jobs whose progress has to be written. */
  dirty: Set<string>;
  /** Jobs whose state has to be published. */
  unpublished: Set<string>;
  /** Jobs without a submission whose progress has to be dropped. */
  orphans: Set<string>;
  writers: Record<LeadStream, LeadWriter>;
  /**
   * Recent peak of the accelerators that urgent work needs, and when it was noted; the epoch
   * milliseconds at which the newest urgent job was accepted, and when that was noted.
   */
  urgentDemand: { gpu: number; at: number; newest: number; newestAt: number };
  /** Use of the workspaces by day, and the totals that have to be written. */
  usage: { totals: Map<string, UsageTotal>; due: Set<string> };
  /** Smoothed logarithm of run times over declared ones, by queue. */
  overruns: Map<string, number>;
  /** Monotonic time at which speeds were last written. */
  speedsAt: number;
  /** Workers that the last placement pass kept for urgent work. */
  keptWorkers: Set<string>;
  /** Ends were listed that are not acknowledged. */
  endsDue: boolean;
  /** Monotonic time of the last placement pass. */
  lastPassAt: number;
  /** Something changed that may allow a placement. */
  placementDue: boolean;
}
