import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { setJobDeadline } from './setJobDeadline.js';

/**
 * Makes a new lead check every started job after `gangSilenceMs`, because a gang may have parts on
 * workers that nobody claims. A former lead releases the capacity that it kept for queued jobs.
 * Cost: O(started jobs), once per change of the lead.
 */
export const handleLeadChanged = (state: State, event: EventOf<'leadChanged'>): Effect[] => {
  const { jobs, timing } = state;
  jobs.placementDue = event.lead;
  if (!event.lead) {
    jobs.reclaimHolds.clear();
    jobs.reservation = null;
    return [];
  }
  jobs.activeJobs.forEach((id) => {
    const job = jobs.jobs.get(id);
    if (job?.dueAt === null) setJobDeadline(jobs, job, event.at + timing.gangSilenceMs);
  });
  return [];
};
