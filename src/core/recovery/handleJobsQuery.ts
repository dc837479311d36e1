import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import type { JobScan } from './JobScan.js';
import { readScanPage } from './readScanPage.js';

/** Starts a scan of the `jobs` stream; a newer query of the same scheduler replaces its scan. */
export const handleJobsQuery = (state: State, event: EventOf<'jobsQuery'>): Effect[] => {
  if (state.self.role !== 'recorder') return [];
  const scan: JobScan = {
    queryId: event.queryId,
    requester: event.from,
    zone: event.zone,
    readId: null,
    nextReadAt: event.at,
    nextOffset: 0,
    openJobs: new Map(),
    endedJobIds: new Set(),
  };
  state.recovery.scans.set(event.from, scan);
  return readScanPage(state, scan);
};
