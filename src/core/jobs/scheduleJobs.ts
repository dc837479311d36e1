import type { Effect } from '../Effect.js';
import { isLead } from '../ownership/isLead.js';
import type { State } from '../State.js';
import { buildWorkerViews } from './buildWorkerViews.js';
import { choosePlacement } from './choosePlacement.js';
import { formatShapeKey } from './formatShapeKey.js';
import type { EventTime } from './EventTime.js';
import { findWorkspaceSettings } from './findWorkspaceSettings.js';
import { mayUseReservedWorkers } from './mayUseReservedWorkers.js';
import { isOverQuota } from './isOverQuota.js';
import type { Job } from './Job.js';
import { listCapacities } from './listCapacities.js';
import { groupEligibleJobs } from './groupEligibleJobs.js';
import { computeWeightedUse } from './computeWeightedUse.js';
import { placeGang } from './placeGang.js';
import { planReservation } from './planReservation.js';
import { reclaimCells } from './reclaimCells.js';
import { startGang } from './startGang.js';
import { startReclaimingGangs } from './startReclaimingGangs.js';

interface Pass {
  event: EventTime;
  views: ReturnType<typeof buildWorkerViews>;
  /** Shapes that did not fit; free capacity only shrinks during a pass. */
  unfit: Set<string>;
  /** Reservations that may still be planned. */
  plansLeft: number;
}

// A pass over a long queue takes milliseconds, so it does not follow each event of a burst.
const longQueue = 200;
const longQueueGapMs = 500;
// Planning a reservation is the most expensive step of a pass.
const maxPlans = 2;

const assignReservation = (state: State, pass: Pass, job: Job): void => {
  const { jobs } = state;
  const holder = jobs.reservation?.jobId;
  if (holder !== undefined && jobs.queue.indexOf(holder) <= jobs.queue.indexOf(job.id)) return;
  if (pass.plansLeft === 0) return;
  pass.plansLeft -= 1;
  jobs.reservation = planReservation(state, pass.views, job, pass.event.at) ?? jobs.reservation;
};

const hasRoom = (pass: Pass, { spec }: Job): boolean => {
  const key = `free/${spec.tasks}x${spec.acceleratorsPerTask}/${spec.adjacency}`;
  if (pass.unfit.has(key)) return false;
  const fits = placeGang(listCapacities(pass.views, '', 'lent'), spec) !== null;
  if (!fits) pass.unfit.add(key);
  return fits;
};

const placeJob = (state: State, pass: Pass, job: Job): Effect[] => {
  const { event } = pass;
  if (isOverQuota(state, job)) return [];
  const precedence = mayUseReservedWorkers(state, job, event.at);
  // Workspaces without guarantees are alike to placement.
  const isAlike = findWorkspaceSettings(state, job.workspace)?.guarantees.length === 0;
  const group = formatShapeKey(isAlike ? { ...job, workspace: '' } : job);
  const shape = `${group}/${job.spec.preemptible}/${precedence}`;
  if (pass.unfit.has(shape)) return [];
  const places = hasRoom(pass, job) ? choosePlacement(state, pass.views, job, event.at) : null;
  const effects = places
    ? startGang(state, job, places, event)
    : reclaimCells(state, pass.views, job, event);
  if (effects) {
    pass.views = buildWorkerViews(state, event.at);
    return effects;
  }
  pass.unfit.add(shape);
  assignReservation(state, pass, job);
  return [];
};

const findLowest = (shares: ReadonlyMap<string, number>): string => {
  let lowest = '';
  shares.forEach((share, workspace) => {
    const best = shares.get(lowest) ?? Infinity;
    if (share < best || (share === best && workspace < lowest)) lowest = workspace;
  });
  return lowest;
};

const removeStaleReservation = (state: State): void => {
  const job = state.jobs.jobs.get(state.jobs.reservation?.jobId ?? '');
  if (job?.state !== 'queued' || isOverQuota(state, job)) state.jobs.reservation = null;
};

/**
 * Starts what fits: gangs whose reclaim is complete, then queued jobs, taking the next job of the
 * workspace with the lowest weighted use each time. Only the lead starts jobs, and not while it
 * shuts down. With a long queue the pass may wait for the next tick.
 * Cost: O(queued jobs × (workspaces + workers) + different shapes × workers log workers).
 */
export const scheduleJobs = (state: State, event: EventTime): Effect[] => {
  const { jobs, membership } = state;
  const isRecent = event.at < jobs.lastPlacementAt + longQueueGapMs;
  if (jobs.queue.length > longQueue && isRecent) return [];
  jobs.placementDue = false;
  if (jobs.queue.length === 0 || membership.drainingSince !== null) return [];
  if (!isLead(state, event.at)) return [];
  jobs.lastPlacementAt = event.at;
  const effects = startReclaimingGangs(state, event);
  removeStaleReservation(state);
  const pass: Pass = {
    event,
    views: buildWorkerViews(state, event.at),
    unfit: new Set(),
    plansLeft: maxPlans,
  };
  const waiting = groupEligibleJobs(state, event.at);
  const shares = new Map(
    [...waiting.keys()].map((name) => [name, computeWeightedUse(state, name)]),
  );
  while (waiting.size > 0) {
    const workspace = findLowest(shares);
    const job = waiting.get(workspace)?.shift();
    const placed = job ? placeJob(state, pass, job) : [];
    if (placed.length > 0) shares.set(workspace, computeWeightedUse(state, workspace));
    effects.push(...placed);
    if (!waiting.get(workspace)?.length) {
      waiting.delete(workspace);
      shares.delete(workspace);
    }
  }
  return effects;
};
