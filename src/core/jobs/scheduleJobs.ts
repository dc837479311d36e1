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

interface PlacementPass {
  event: EventTime;
  views: ReturnType<typeof buildWorkerViews>;
  /** Keys of shapes that did not fit; not tried again, as free capacity only shrinks in a pass. */
  unplaceableKeys: Set<string>;
  /** Number of reservations that may still be planned in this pass. */
  plansLeft: number;
}

// A pass over a longer queue takes milliseconds, so it does not follow each event of a burst.
const longQueueJobs = 200;
const longQueueIntervalMs = 500;
// Per pass; planning a reservation is its most expensive step.
const maxReservationPlans = 2;

const assignReservation = (state: State, pass: PlacementPass, job: Job): void => {
  const { jobs } = state;
  const reservingJobId = jobs.reservation?.jobId;
  if (
    reservingJobId !== undefined &&
    jobs.queue.indexOf(reservingJobId) <= jobs.queue.indexOf(job.id)
  )
    return;
  if (pass.plansLeft === 0) return;
  pass.plansLeft -= 1;
  jobs.reservation = planReservation(state, pass.views, job, pass.event.at) ?? jobs.reservation;
};

// The `lent` tier is all free capacity, alike for every workspace; its check needs no workspace.
const hasCapacity = (pass: PlacementPass, { spec }: Job): boolean => {
  const key = `free/${spec.tasks}x${spec.acceleratorsPerTask}/${spec.adjacency}`;
  if (pass.unplaceableKeys.has(key)) return false;
  const fits = placeGang(listCapacities(pass.views, '', 'lent'), spec) !== null;
  if (!fits) pass.unplaceableKeys.add(key);
  return fits;
};

const placeJob = (state: State, pass: PlacementPass, job: Job): Effect[] => {
  const { event } = pass;
  if (isOverQuota(state, job)) return [];
  const mayUseReserved = mayUseReservedWorkers(state, job, event.at);
  // Jobs of workspaces without guarantees fit on the same workers, so they share a key.
  const hasNoGuarantees = findWorkspaceSettings(state, job.workspace)?.guarantees.length === 0;
  const shapeKey = formatShapeKey(hasNoGuarantees ? { ...job, workspace: '' } : job);
  const placementKey = `${shapeKey}/${job.spec.preemptible}/${mayUseReserved}`;
  if (pass.unplaceableKeys.has(placementKey)) return [];
  const placements = hasCapacity(pass, job)
    ? choosePlacement(state, pass.views, job, event.at)
    : null;
  const effects = placements
    ? startGang(state, job, placements, event)
    : reclaimCells(state, pass.views, job, event);
  if (effects) {
    pass.views = buildWorkerViews(state, event.at);
    return effects;
  }
  pass.unplaceableKeys.add(placementKey);
  assignReservation(state, pass, job);
  return [];
};

const findLowestWeightedUse = (weightedUses: ReadonlyMap<string, number>): string => {
  let lowestWorkspace = '';
  weightedUses.forEach((use, workspace) => {
    const lowestUse = weightedUses.get(lowestWorkspace) ?? Infinity;
    if (use < lowestUse || (use === lowestUse && workspace < lowestWorkspace))
      lowestWorkspace = workspace;
  });
  return lowestWorkspace;
};

const removeStaleReservation = (state: State): void => {
  const job = state.jobs.jobs.get(state.jobs.reservation?.jobId ?? '');
  if (job?.state !== 'queued' || isOverQuota(state, job)) state.jobs.reservation = null;
};

/**
 * Runs a placement pass: starts the gangs whose reclaim is complete, then queued jobs, each time
 * from the workspace with the lowest weighted use. Only the lead starts jobs, and not while it
 * shuts down. With a long queue, the pass may be postponed to a later tick.
 * Cost: O(queued jobs × (workspaces + workers) + different shapes × workers log workers).
 */
export const scheduleJobs = (state: State, event: EventTime): Effect[] => {
  const { jobs, membership } = state;
  const isRecent = event.at < jobs.lastPlacementAt + longQueueIntervalMs;
  if (jobs.queue.length > longQueueJobs && isRecent) return [];
  jobs.placementDue = false;
  if (jobs.queue.length === 0 || membership.drainingSince !== null) return [];
  if (!isLead(state, event.at)) return [];
  jobs.lastPlacementAt = event.at;
  const effects = startReclaimingGangs(state, event);
  removeStaleReservation(state);
  const pass: PlacementPass = {
    event,
    views: buildWorkerViews(state, event.at),
    unplaceableKeys: new Set(),
    plansLeft: maxReservationPlans,
  };
  const eligible = groupEligibleJobs(state, event.at);
  const weightedUses = new Map(
    [...eligible.keys()].map((name) => [name, computeWeightedUse(state, name)]),
  );
  while (eligible.size > 0) {
    const workspace = findLowestWeightedUse(weightedUses);
    const job = eligible.get(workspace)?.shift();
    const placed = job ? placeJob(state, pass, job) : [];
    if (placed.length > 0) weightedUses.set(workspace, computeWeightedUse(state, workspace));
    effects.push(...placed);
    if (!eligible.get(workspace)?.length) {
      eligible.delete(workspace);
      weightedUses.delete(workspace);
    }
  }
  return effects;
};
