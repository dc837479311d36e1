import type { CallerRecord } from './CallerRecord.js';
import type { ProposalRecord } from './ProposalRecord.js';
import type { RequestRun } from './RequestRun.js';
import type { TaskRun } from './TaskRun.js';

/** What the outside saw, from which the oracle judges. */
export interface History {
  callers: Map<string, CallerRecord>;
  proposals: ProposalRecord[];
  requestRuns: RequestRun[];
  taskRuns: TaskRun[];
  /** Longest time that a renewal of tasks was on its way. */
  maxRenewalDelayMs: number;
  /** Ids of the submitted jobs, without their zone. */
  submittedJobIds: string[];
  /** Jobs of the guaranteed shape, with the time of their submission. */
  guaranteedJobs: { jobId: string; at: number }[];
  /** Moments at which two schedulers both held a worker or both led a zone. */
  overlaps: { at: number; kind: 'worker' | 'lead'; id: string; holders: string[] }[];
  /** Processes that ended by themselves after SIGTERM, with the requests still open. */
  exits: { at: number; node: string; drainedMs: number; open: string[] }[];
  /** Trees put in force that were older than the one before. */
  reverts: { at: number; node: string; from: number; to: number }[];
  trace: string[];
}
