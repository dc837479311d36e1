import type { CallerRecord } from './CallerRecord.js';
import type { ProposalRecord } from './ProposalRecord.js';
import type { RequestRun } from './RequestRun.js';
import type { TaskRun } from './TaskRun.js';

/**
 * Externally visible events of a simulation, which the oracle checks; times are simulation times.
 */
export interface History {
  callers: Map<string, CallerRecord>;
  proposals: ProposalRecord[];
  requestRuns: RequestRun[];
  taskRuns: TaskRun[];
  /** Longest network delay of a renewal of tasks. */
  maxRenewalDelayMs: number;
  /** Ids of the submitted jobs, without the zone prefix. */
  submittedJobIds: string[];
  /** Jobs of the guaranteed shape, with their submission times. */
  guaranteedJobs: { jobId: string; at: number }[];
  /** Times at which two schedulers held the same worker or led the same zone. */
  overlaps: { at: number; kind: 'worker' | 'lead'; id: string; holders: string[] }[];
  /**
   * Processes that exited by themselves. `drainedMs` is the time since the shutdown request, by the
   * process's own clock; `open` has the ids of the requests still open.
   */
  exits: { at: number; node: string; drainedMs: number; open: string[] }[];
  /** Applied settings trees that were older than the previous one. */
  reverts: { at: number; node: string; from: number; to: number }[];
  /** Lines of the trace; empty unless tracing is on. */
  trace: string[];
}
