import type { QueueSettings } from '../config/QueueSettings.js';
import type { Job } from '../jobs/Job.js';
import type { Submission } from '../jobs/Submission.js';
import type { State } from '../State.js';
import { computePeakGpu } from './computePeakGpu.js';
import type { JobPlan } from './JobPlan.js';
import { isJobEnded } from './isJobEnded.js';

// Used for a submission of a former version whose queue has been removed.
const unknownSettings = { priority: 9, maxAttempts: 1, stretch: 1, targetLatencyMs: 0 };

/** The settings under which the job was accepted. A submission of a former version names its queue only. */
const findSettings = ({ config }: State, { queue, queueSettings }: Submission): QueueSettings =>
  queueSettings ?? config?.queues.find(({ name }) => name === queue) ?? unknownSettings;

/** Adds a plan for a submitted job that has not ended. Returns null if there is nothing to add. */
export const addPlan = (state: State, job: Job): JobPlan | null => {
  const { term } = state;
  const { submission } = job;
  if (!term || !submission || term.plans.has(job.id)) return null;
  if (isJobEnded(job.state)) return null;
  const { priority, maxAttempts, stretch, targetLatencyMs } = findSettings(state, submission);
  const plan: JobPlan = {
    id: job.id,
    submission,
    state: job.state,
    endedAt: 0,
    priority,
    maxAttempts: Math.max(1, maxAttempts),
    stretch,
    targetLatencyMs,
    peakGpu: computePeakGpu(submission.definition.steps),
    occurrences: new Map(),
    nextOccurrence: 0,
    parts: null,
  };
  term.plans.set(job.id, plan);
  term.placementDue = true;
  return plan;
};
