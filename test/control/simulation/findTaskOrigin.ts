import type { Step } from '../../../src/control/jobs/Step.js';
import type { Submission } from '../../../src/control/jobs/Submission.js';
import type { FakePlatform } from './FakePlatform.js';

interface TaskOrigin {
  submission: Submission;
  occurrence: number;
  stepIndex: number;
  step: Step;
}

/** Finds the submission and step of a task by its name; null if no known submission has it. */
export const findTaskOrigin = (platform: FakePlatform, task: string): TaskOrigin | null => {
  const [id = '', occurrence, stepIndex] = task.split('.');
  const submission = platform.vms
    .map(({ state }) => state.jobs.get(id)?.submission)
    .find((found) => found);
  const step = submission?.definition.steps[Number(stepIndex)];
  if (!submission || !step) return null;
  return { submission, occurrence: Number(occurrence), stepIndex: Number(stepIndex), step };
};
