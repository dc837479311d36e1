import type { Job } from '../jobs/Job.js';
import type { State } from '../State.js';
import type { JobPlan } from './JobPlan.js';
import { isJobEnded } from './isJobEnded.js';

// Used while the configuration under which the job was accepted is not known.
const unknownQueueSettings = { priority: 9, maxAttempts: 1, stretch: 1, targetLatencyMs: 0 };

/** Adds a plan for a submitted job that has not ended. Returns null if there is nothing to add. */
export const addPlan = (state: State, job: Job): JobPlan | null => {
  const { term } = state;
  const { submission } = job;
  if (!term || !submission || term.plans.has(job.id)) return null;
  if (isJobEnded(job.state)) return null;
  const queue =
    state.config?.queues.find(({ name }) => name === submission.queue) ?? unknownQueueSettings;
  const plan: JobPlan = {
    id: job.id,
    submission,
    state: job.state,
    endedAt: 0,
    priority: queue.priority,
    maxAttempts: Math.max(1, queue.maxAttempts),
    stretch: queue.stretch,
    targetLatencyMs: queue.targetLatencyMs,
    occurrences: new Map(),
    nextOccurrence: 0,
  };
  term.plans.set(job.id, plan);
  term.placementDue = true;
  return plan;
};
