import type { Submission } from '../jobs/Submission.js';
import type { Step } from '../jobs/Step.js';
import type { Task } from './Task.js';

/** Creates a task that was never started. */
export const createTask = (
  { id: jobId, workspace }: Pick<Submission, 'id' | 'workspace'>,
  place: { occurrence: number; step: number; index: number },
  step: Step,
  at: number,
): Task => ({
  ...place,
  name: `${jobId}.${place.occurrence}.${place.step}.${place.index}`,
  jobId,
  workspace,
  // Work that fills takes only what others leave, so it is not counted.
  need: step.fills ? { ...step.need, cpu: 0 } : step.need,
  state: 'waiting',
  run: 0,
  failures: 0,
  checkpoint: '',
  workerId: '',
  since: at,
  startedAt: null,
  seenAt: null,
  confirmedAt: Number.NEGATIVE_INFINITY,
  stopReason: null,
  stopSentAt: null,
  percent: 0,
  percentAt: at,
  sample: { percent: 0, at, pace: null },
});
