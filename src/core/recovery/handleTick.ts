import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import { isLead } from '../ownership/isLead.js';
import type { State } from '../State.js';
import { askForJobs } from './askForJobs.js';
import { readScan } from './readScan.js';
import { appendOpenJobs } from './appendOpenJobs.js';
import { resolvePending } from './resolvePending.js';

/** Asks for jobs, queues recovered ones and repeats failed reads, as due. */
export const handleTick = (state: State, event: EventOf<'tick'>): Effect[] => {
  const { at } = event;
  const reads = [...state.recovery.scans.values()]
    .filter((scan) => scan.readId === null && at >= scan.nextReadAt)
    .flatMap((scan) => readScan(state, scan));
  if (state.self.role !== 'scheduler' || !isLead(state, at)) return reads;
  resolvePending(state, event);
  return [...askForJobs(state, at), ...appendOpenJobs(state, at)];
};
