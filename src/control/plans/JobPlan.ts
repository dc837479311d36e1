import type { QueueSettings } from '../config/QueueSettings.js';
import type { JobState } from '../jobs/JobState.js';
import type { Submission } from '../jobs/Submission.js';
import type { OccurrencePlan } from './OccurrencePlan.js';
import type { ProgressParts } from './ProgressParts.js';

/**
 * The leader's plan for a job that has not ended, or whose end is not yet persisted, with the settings of
 * its queue.
 */
export interface JobPlan extends QueueSettings {
  id: string;
  submission: Submission;
  state: JobState;
  /** Epoch milliseconds at which the job ended, or 0. */
  endedAt: number;
  /** Upper bound of the accelerators that one occurrence needs at a time. */
  peakGpu: number;
  /** Unfinished occurrences by number; those below `nextOccurrence` that are missing here are done. */
  occurrences: Map<number, OccurrencePlan>;
  /** Number of the next occurrence to create. */
  nextOccurrence: number;
  /** Null while its stored progress is one record. */
  parts: ProgressParts | null;
}
