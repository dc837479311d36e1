import type { State } from '../State.js';
import { computeCapacity } from './computeCapacity.js';
import { estimateRemainingMs } from './estimateRemainingMs.js';
import type { Job } from './Job.js';
import { listTiers } from './listTiers.js';
import { placeGang } from './placeGang.js';
import type { Reservation } from './Reservation.js';
import type { WorkerView } from './WorkerView.js';

type Views = ReadonlyMap<string, WorkerView>;

const listRunning = (state: State): Job[] =>
  [...state.jobs.activeJobs].flatMap((id) => state.jobs.jobs.get(id) ?? []);

const removeJobs = (views: Views, endedJobs: Job[]): Map<string, WorkerView> => {
  // Short requests end soon, so their slots count as free.
  const remainingViews = new Map(
    [...views].map(([id, view]) => [id, { ...view, requestSlots: 0 }]),
  );
  endedJobs.forEach((job) => {
    job.parts.forEach(({ workerId }) => {
      const view = remainingViews.get(workerId);
      if (!view) return;
      const remainingUse = new Map(view.usedByWorkspace);
      const accelerators = job.spec.acceleratorsPerTask;
      remainingUse.set(
        job.workspace,
        Math.max(0, (remainingUse.get(job.workspace) ?? 0) - accelerators),
      );
      remainingViews.set(workerId, {
        ...view,
        usedByWorkspace: remainingUse,
        usedAccelerators: Math.max(0, view.usedAccelerators - accelerators),
      });
    });
  });
  return remainingViews;
};

const placeInViews = (views: Views, job: Job): string[] | null => {
  const tier = listTiers(job).at(-1) ?? 'own';
  const capacities = [...views.values()].map((view) => ({
    workerId: view.workerId,
    rack: view.rack,
    capacity: computeCapacity(view, job.workspace, tier),
  }));
  return placeGang(capacities, job.spec);
};

/**
 * Finds the workers on which a gang that does not fit now is expected to fit first, and when; null
 * if it would not fit even on idle workers. Computed only when another job gets the reservation.
 * Cost: O((running tasks + workers log workers) × log running jobs).
 */
export const planReservation = (
  state: State,
  views: Views,
  job: Job,
  at: number,
): Reservation | null => {
  const running = listRunning(state)
    .map((gang) => ({ gang, endAt: at + estimateRemainingMs(state.jobs, gang, at) }))
    .sort((a, b) => a.endAt - b.endAt);
  const placeAfter = (count: number): string[] | null =>
    placeInViews(
      removeJobs(
        views,
        running.slice(0, count).map(({ gang }) => gang),
      ),
      job,
    );
  // Binary search for the smallest number of ended gangs after which the job fits.
  let low = 0;
  let high = running.length;
  if (!placeAfter(high)) return null;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if (placeAfter(middle)) high = middle;
    else low = middle + 1;
  }
  return {
    jobId: job.id,
    workers: new Set(placeAfter(low)),
    expectedAt: running[low - 1]?.endAt ?? at,
  };
};
