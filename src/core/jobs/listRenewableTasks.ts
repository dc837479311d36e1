import { isWorkerHeld } from '../ownership/isWorkerHeld.js';
import type { State } from '../State.js';
import { isGangIntact } from './isGangIntact.js';
import type { JobState } from './JobState.js';

const renewableStates: readonly JobState[] = ['preparing', 'starting', 'running', 'checkpointing'];

/**
 * Lists the tasks of a worker whose leases may be renewed: those of intact gangs only, so that the
 * other parts of a broken gang end by themselves even if this scheduler cannot stop them.
 * Cost: O(tasks of the worker + parts of their gangs).
 */
export const listRenewableTasks = (state: State, workerId: string, at: number): string[] => {
  if (!isWorkerHeld(state, workerId, at)) return [];
  const { jobs } = state;
  const intactByJob = new Map<string, boolean>();
  return [...(jobs.tasksByWorker.get(workerId) ?? [])].filter((taskId) => {
    const job = jobs.jobs.get(jobs.jobIdByTask.get(taskId) ?? '');
    if (!job || !renewableStates.includes(job.state)) return false;
    const isIntact = intactByJob.get(job.id) ?? isGangIntact(state, job, at);
    intactByJob.set(job.id, isIntact);
    return isIntact;
  });
};
