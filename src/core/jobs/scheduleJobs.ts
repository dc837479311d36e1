import type { Effect } from '../Effect.js';
import { isLead } from '../ownership/isLead.js';
import type { State } from '../State.js';
import { buildWorkerViews } from './buildWorkerViews.js';
import { choosePlacement } from './choosePlacement.js';
import { describeShape } from './describeShape.js';
import type { EventTime } from './EventTime.js';
import { hasPrecedence } from './hasPrecedence.js';
import { isOverQuota } from './isOverQuota.js';
import type { Job } from './Job.js';
import { listWaiting } from './listWaiting.js';
import { measureShare } from './measureShare.js';
import { planReservation } from './planReservation.js';
import { reclaimCells } from './reclaimCells.js';
import { startGang } from './startGang.js';
import { startHeldGangs } from './startHeldGangs.js';

interface Pass {
  event: EventTime;
  views: ReturnType<typeof buildWorkerViews>;
  /** Shapes that did not fit; free capacity only shrinks during a pass. */
  unfit: Set<string>;
}

const assignReservation = (state: State, pass: Pass, job: Job): void => {
  const { jobs } = state;
  const holder = jobs.reservation?.jobId;
  if (holder !== undefined && jobs.queue.indexOf(holder) <= jobs.queue.indexOf(job.id)) return;
  jobs.reservation = planReservation(state, pass.views, job, pass.event.at) ?? jobs.reservation;
};

const placeJob = (state: State, pass: Pass, job: Job): Effect[] => {
  const { event } = pass;
  if (isOverQuota(state, job)) return [];
  const precedence = hasPrecedence(state, job, event.at);
  const shape = `${describeShape(job)}/${job.spec.preemptible}/${precedence}`;
  if (pass.unfit.has(shape)) return [];
  const places = choosePlacement(state, pass.views, job, event.at);
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

const removeStaleReservation = (state: State): void => {
  const job = state.jobs.jobs.get(state.jobs.reservation?.jobId ?? '');
  if (job?.state !== 'queued' || isOverQuota(state, job)) state.jobs.reservation = null;
};

/**
 * Starts what fits: gangs whose reclaim is complete, then queued jobs, taking the next job of the
 * workspace with the lowest weighted use each time. Only the lead starts jobs, and not while it
 * shuts down. Cost: O(queued jobs × workspaces + different shapes × workers log workers).
 */
export const scheduleJobs = (state: State, event: EventTime): Effect[] => {
  const { jobs, membership } = state;
  jobs.placementDue = false;
  if (jobs.queue.length === 0 || membership.drainingSince !== null) return [];
  if (!isLead(state, event.at)) return [];
  jobs.placedAt = event.at;
  const effects = startHeldGangs(state, event);
  removeStaleReservation(state);
  const pass: Pass = { event, views: buildWorkerViews(state, event.at), unfit: new Set() };
  const waiting = listWaiting(state, event.at);
  while (waiting.size > 0) {
    const [next] = [...waiting.keys()]
      .map((workspace) => ({ workspace, share: measureShare(state, workspace) }))
      .sort((a, b) => a.share - b.share || (a.workspace < b.workspace ? -1 : 1));
    const queue = waiting.get(next?.workspace ?? '');
    const job = queue?.shift();
    if (job) effects.push(...placeJob(state, pass, job));
    if (next && !queue?.length) waiting.delete(next.workspace);
  }
  return effects;
};
