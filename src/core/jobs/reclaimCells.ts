import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import { setJobDeadline } from './setJobDeadline.js';
import { preemptGang } from './preemptGang.js';
import { chooseBorrowers } from './chooseBorrowers.js';
import type { EventTime } from './EventTime.js';
import { findWorkspaceSettings } from './findWorkspaceSettings.js';
import type { Job } from './Job.js';
import { listCapacities } from './listCapacities.js';
import { placeGang } from './placeGang.js';
import { reclaimGraceMs } from './reclaimGraceMs.js';
import type { WorkerView } from './WorkerView.js';

/**
 * Preempts the gangs that borrow cells of a queued job's workspace and keeps the cells for the job;
 * null when the job does not fit on the cells.
 * Cost: O(workers log workers + tasks of the chosen workers × parts of their gangs).
 */
export const reclaimCells = (
  state: State,
  views: ReadonlyMap<string, WorkerView>,
  job: Job,
  event: EventTime,
): Effect[] | null => {
  if (!findWorkspaceSettings(state, job.workspace)?.guarantees.length) return null;
  const workers = placeGang(listCapacities(views, job.workspace, 'reclaimable'), job.spec);
  if (!workers) return null;
  const { acceleratorsPerTask } = job.spec;
  const borrowers = new Set<Job>();
  new Set(workers).forEach((workerId) => {
    const view = views.get(workerId);
    const needed = workers.filter((id) => id === workerId).length * acceleratorsPerTask;
    if (view) chooseBorrowers(state, view, needed).forEach((gang) => borrowers.add(gang));
  });
  state.jobs.reclaimHolds.set(job.id, {
    workspace: job.workspace,
    workers,
    acceleratorsPerTask,
    startedAt: event.at,
  });
  setJobDeadline(state.jobs, job, event.at + reclaimGraceMs);
  return [
    { type: 'count', name: 'reclaim_started' },
    ...[...borrowers].flatMap((gang) =>
      preemptGang(state, gang, event, `reclaimed by workspace ${job.workspace}`),
    ),
  ];
};
