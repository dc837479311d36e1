import type { Effect } from '../Effect.js';
import { isWorkerHeld } from '../ownership/isWorkerHeld.js';
import { replicateChanges } from '../replication/replicateChanges.js';
import type { State } from '../State.js';
import { setJobDeadline } from './setJobDeadline.js';
import type { EventTime } from './EventTime.js';
import type { Job } from './Job.js';
import { setJobState } from './setJobState.js';
import { startReplicatedGangs } from './startReplicatedGangs.js';

/**
 * Moves a prepared gang to `starting` and starts its parts once the peers have a copy of that. Does
 * nothing if this scheduler does not hold all the workers; the deadline then stops the gang.
 * Cost: O(parts of the job).
 */
export const startParts = (state: State, job: Job, { at, wall }: EventTime): Effect[] => {
  if (!job.parts.every((part) => isWorkerHeld(state, part.workerId, at))) return [];
  setJobState(state, job, 'starting', at);
  setJobDeadline(state.jobs, job, at + state.timing.gangStartMs);
  job.startedWall = wall;
  const prepared = job.parts.filter((part) => part.state === 'prepared');
  prepared.forEach((part) => {
    part.startSentWall = wall;
  });
  state.replication.changedJobs.add(job.id);
  // With the start in a peer's copy, the next lead records even a part that ran only for a moment.
  const copies = replicateChanges(state, at);
  state.jobs.pendingStarts.set(job.id, state.replication.sequence);
  return [...copies, ...startReplicatedGangs(state, at)];
};
