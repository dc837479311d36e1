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
 * Has the prepared parts of a gang started as soon as the peers have a copy that says so, if this
 * scheduler may act on the workers of all parts; otherwise the gang's deadline stops it.
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
  // A part that runs for a moment only is recorded by a successor if a peer's copy names its start.
  const copies = replicateChanges(state, at);
  state.jobs.pendingStarts.set(job.id, state.replication.sequence);
  return [...copies, ...startReplicatedGangs(state, at)];
};
