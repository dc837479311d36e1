import type { Job } from './Job.js';
import type { JobPart } from './JobPart.js';
import type { JobsState } from './JobsState.js';

const takeFrom = (counts: Map<string, number> | undefined, key: string, amount: number): void => {
  const remaining = (counts?.get(key) ?? 0) - amount;
  if (remaining > 0) counts?.set(key, remaining);
  else counts?.delete(key);
};

/** Removes a part from the indexes of tasks and accelerators in use; repeated calls do nothing. */
export const removePartUse = (jobs: JobsState, job: Job, { taskId, workerId }: JobPart): void => {
  if (!jobs.jobIdByTask.delete(taskId)) return;
  jobs.placementDue = true;
  const accelerators = job.spec.acceleratorsPerTask;
  const tasks = jobs.tasksByWorker.get(workerId);
  tasks?.delete(taskId);
  if (tasks?.size === 0) jobs.tasksByWorker.delete(workerId);
  takeFrom(jobs.usedByWorkerAndWorkspace.get(workerId), job.workspace, accelerators);
  takeFrom(jobs.usedByWorker, workerId, accelerators);
  takeFrom(jobs.usedByWorkspace, job.workspace, accelerators);
};
