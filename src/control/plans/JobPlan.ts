import type { JobState } from '../jobs/JobState.js';
import type { Submission } from '../jobs/Submission.js';
import type { OccurrencePlan } from './OccurrencePlan.js';

/** What the lead still has to do for a job. */
export interface JobPlan {
  id: string;
  submission: Submission;
  state: JobState;
  /** Epoch milliseconds of the end, or 0. */
  endedAt: number;
  priority: number;
  maxAttempts: number;
  stretch: number;
  targetLatencyMs: number;
  /** Occurrences that are not done; the ones before `nextOccurrence` and not here are done. */
  occurrences: Map<number, OccurrencePlan>;
  nextOccurrence: number;
}
