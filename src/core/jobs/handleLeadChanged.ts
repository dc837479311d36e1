import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { addDeadline } from './addDeadline.js';
import { isJobEnded } from './isJobEnded.js';

/**
 * A new lead looks at every unfinished job after `gangSilenceMs`, because the parts of a gang may
 * be on workers that nobody claims; a former lead forgets what it kept for queued jobs.
 * Cost: O(jobs), once per change of the lead.
 */
export const handleLeadChanged = (state: State, event: EventOf<'leadChanged'>): Effect[] => {
  const { jobs, timing } = state;
  jobs.placementDue = event.lead;
  if (!event.lead) {
    jobs.holds.clear();
    jobs.reservation = null;
    return [];
  }
  jobs.jobs.forEach((job) => {
    const isPending = !isJobEnded(job) && job.state !== 'queued' && job.dueAt === null;
    if (isPending) addDeadline(jobs, job, event.at + timing.gangSilenceMs);
  });
  return [];
};
