import type { Job } from './Job.js';
import type { JobPart } from './JobPart.js';
import type { JobsState } from './JobsState.js';

const addTo = (counts: Map<string, number>, key: string, amount: number): void => {
  counts.set(key, (counts.get(key) ?? 0) + amount);
};

/** Adds a part to the indexes of tasks and accelerators in use; repeated calls do nothing. */
export const addPartUse = (jobs: JobsState, job: Job, { taskId, workerId }: JobPart): void => {
  if (jobs.jobIdByTask.has(taskId)) return;
  const accelerators = job.spec.acceleratorsPerTask;
  const tasks = jobs.tasksByWorker.get(workerId) ?? new Set<string>();
  const usedOnWorker = jobs.usedByWorkerAndWorkspace.get(workerId) ?? new Map<string, number>();
  jobs.jobIdByTask.set(taskId, job.id);
  jobs.tasksByWorker.set(workerId, tasks.add(taskId));
  jobs.usedByWorkerAndWorkspace.set(workerId, usedOnWorker);
  addTo(usedOnWorker, job.workspace, accelerators);
  addTo(jobs.usedByWorker, workerId, accelerators);
  addTo(jobs.usedByWorkspace, job.workspace, accelerators);
};
