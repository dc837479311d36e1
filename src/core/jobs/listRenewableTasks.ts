import { isWorkerHeld } from '../ownership/isWorkerHeld.js';
import type { State } from '../State.js';
import { isGangIntact } from './isGangIntact.js';
import type { JobState } from './JobState.js';

const renewedStates: readonly JobState[] = ['preparing', 'starting', 'running', 'checkpointing'];

/**
 * Lists the tasks of a worker whose leases may be renewed: those of gangs whose other parts are
 * all alive, so that a broken gang's parts expire even if this scheduler cannot stop them.
 * Cost: O(tasks of the worker + parts of their gangs).
 */
export const listRenewableTasks = (state: State, workerId: string, at: number): string[] => {
  if (!isWorkerHeld(state, workerId, at)) return [];
  const { jobs } = state;
  const whole = new Map<string, boolean>();
  return [...(jobs.tasksByWorker.get(workerId) ?? [])].filter((taskId) => {
    const job = jobs.jobs.get(jobs.jobIdByTask.get(taskId) ?? '');
    if (!job || !renewedStates.includes(job.state)) return false;
    const isWhole = whole.get(job.id) ?? isGangIntact(state, job, at);
    whole.set(job.id, isWhole);
    return isWhole;
  });
};
