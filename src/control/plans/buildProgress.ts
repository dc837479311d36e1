import type { JobProgress } from '../jobs/JobProgress.js';
import type { JobState } from '../jobs/JobState.js';
import type { TaskProgress } from '../jobs/TaskProgress.js';
import type { Now } from '../Now.js';
import { buildTaskProgress } from './buildTaskProgress.js';
import { isJobEnded } from './isJobEnded.js';
import type { JobPlan } from './JobPlan.js';
import type { OccurrencePlan } from './OccurrencePlan.js';

const buildStartedRows = (occurrence: OccurrencePlan, now: Now): TaskProgress[] =>
  occurrence.steps.flatMap((step) =>
    step.tasks.filter(({ run }) => run > 0).map((task) => buildTaskProgress(step, task, now)),
  );

const hasStartedTask = ({ nextOccurrence, occurrences }: JobPlan): boolean =>
  occurrences.size < nextOccurrence ||
  [...occurrences.values()].some(({ steps }) =>
    steps.some(({ tasks }) => tasks.some(({ run }) => run > 0)),
  );

/** A recorded start is stored as `running`: a former version publishes the stored state, which must not go back. */
const getStoredState = (plan: JobPlan): JobState =>
  plan.state === 'queued' && hasStartedTask(plan) ? 'running' : plan.state;

/**
 * Builds the stored progress of a job. Finished occurrences are left out, so that the record of a repeated job
 * stays small; so are the tasks of an ended job.
 */
export const buildProgress = (plan: JobPlan, now: Now): JobProgress => ({
  state: getStoredState(plan),
  endedAt: plan.endedAt,
  nextOccurrence: plan.nextOccurrence,
  openOccurrences: [...plan.occurrences.keys()],
  tasks: isJobEnded(plan.state)
    ? []
    : [...plan.occurrences.values()].flatMap((occurrence) => buildStartedRows(occurrence, now)),
});
