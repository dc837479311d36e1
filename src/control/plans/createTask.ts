import type { Submission } from '../jobs/Submission.js';
import type { Step } from '../jobs/Step.js';
import type { Task } from './Task.js';

/** Creates a waiting task that has never been started. */
export const createTask = (
  { id: jobId, workspace }: Pick<Submission, 'id' | 'workspace'>,
  position: { occurrence: number; step: number; index: number },
  step: Step,
  at: number,
): Task => ({
  occurrence: position.occurrence,
  step: position.step,
  index: position.index,
  name: `${jobId}.${position.occurrence}.${position.step}.${position.index}`,
  jobId,
  workspace,
  // Filler tasks use only CPU that others leave idle, so their CPU is not reserved.
  need: step.fills ? { ...step.need, cpu: 0 } : step.need,
  state: 'waiting',
  run: 0,
  failures: 0,
  checkpoint: '',
  part: -1,
  workerId: '',
  stateSince: at,
  startedAt: null,
  observedRunningAt: null,
  confirmedAt: Number.NEGATIVE_INFINITY,
  stopSentAt: null,
  stalls: 0,
  percent: 0,
  percentChangedAt: at,
  paceBaseline: { percent: 0, at, logPace: null },
});
