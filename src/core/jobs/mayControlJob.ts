import { isWorkerHeld } from '../ownership/isWorkerHeld.js';
import { isLead } from '../ownership/isLead.js';
import type { State } from '../State.js';
import type { Job } from './Job.js';

/**
 * Tells whether this scheduler may act on a job: it holds a worker of the job, or it is the lead.
 * Cost: O(parts of the job + workers of the zone).
 */
export const mayControlJob = (state: State, job: Job, at: number): boolean =>
  job.parts.some((part) => isWorkerHeld(state, part.workerId, at)) || isLead(state, at);
