import type { JobState } from '../jobs/JobState.js';
import type { Submission } from '../jobs/Submission.js';
import type { OccurrencePlan } from './OccurrencePlan.js';

/** The leader's plan for a job that has not ended, or whose end is not yet persisted. */
export interface JobPlan {
  id: string;
  submission: Submission;
  state: JobState;
  /** Epoch milliseconds at which the job ended, or 0. */
  endedAt: number;
  /** Priority of the job's queue; 0 is the most urgent. */
  priority: number;
  /** Failed runs of a task or gang after which the job fails. */
  maxAttempts: number;
  /** Factor of the critical path that the latency objective allows. */
  stretch: number;
  /** Fixed part of the latency objective. */
  targetLatencyMs: number;
  /** Unfinished occurrences by number; those below `nextOccurrence` that are missing here are done. */
  occurrences: Map<number, OccurrencePlan>;
  /** Number of the next occurrence to create. */
  nextOccurrence: number;
}
