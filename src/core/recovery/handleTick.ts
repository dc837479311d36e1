import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import { isLead } from '../ownership/isLead.js';
import type { State } from '../State.js';
import { sendJobsQuery } from './sendJobsQuery.js';
import { readScanPage } from './readScanPage.js';
import { appendOpenJobs } from './appendOpenJobs.js';
import { resolvePendingJobs } from './resolvePendingJobs.js';

/**
 * Repeats failed reads and, on the lead, queries open jobs, queues recovered ones and appends open
 * ones, as due.
 */
export const handleTick = (state: State, event: EventOf<'tick'>): Effect[] => {
  const { at } = event;
  const readEffects = [...state.recovery.scans.values()]
    .filter((scan) => scan.readId === null && at >= scan.nextReadAt)
    .flatMap((scan) => readScanPage(state, scan));
  if (state.self.role !== 'scheduler' || !isLead(state, at)) return readEffects;
  resolvePendingJobs(state, event);
  return [...sendJobsQuery(state, at), ...appendOpenJobs(state, at)];
};
