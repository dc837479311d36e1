import { isWorkerHeld } from '../ownership/isWorkerHeld.js';
import type { State } from '../State.js';
import type { Job } from './Job.js';

/**
 * Tells whether a gang has all its parts, none of them failed, and each on a worker that this
 * scheduler holds and that answered within `gangSilenceMs`; finished parts need no worker.
 * Cost: O(parts of the job).
 */
export const isGangIntact = (state: State, job: Job, at: number): boolean =>
  job.parts.length === job.spec.tasks &&
  job.parts.every((part) => {
    if (part.state === 'finished') return true;
    if (part.state === 'lost' || part.state === 'failed' || part.state === 'stopped') return false;
    const heardAt = state.jobs.lastHeardByWorker.get(part.workerId) ?? -Infinity;
    return isWorkerHeld(state, part.workerId, at) && at - heardAt < state.timing.gangSilenceMs;
  });
