import type { Effect } from '../Effect.js';
import type { Now } from '../Now.js';
import { buildLeadRecord } from '../progress/buildLeadRecord.js';
import { createWrite } from '../progress/createWrite.js';
import { sendWrite } from '../progress/sendWrite.js';
import type { State } from '../State.js';
import { openStream } from '../streams/openStream.js';
import type { Term } from './Term.js';

/** Begins a term: the first append shuts the former lead out of the journal. */
export const beginTerm = (state: State, token: number, now: Now): Effect[] => {
  const term: Term = {
    token,
    sequence: 0,
    phase: 'fencing',
    phaseSince: now.at,
    since: now.at,
    fenceEnd: Number.POSITIVE_INFINITY,
    plans: new Map(),
    workers: new Map(),
    brokenGangs: new Set(),
    dirty: new Set(),
    write: null,
    lastWriteAt: now.at,
    urgentDemand: { gpu: 0, at: now.at },
    speedsWritten: { at: now.at, runs: 0 },
    endsDue: false,
    lastPassAt: now.at,
    placementDue: false,
  };
  state.term = term;
  state.lead.token = token;
  state.lead.vmId = state.self.vmId;
  state.lead.resigned = false;
  const write = createWrite(term, [buildLeadRecord(state, term)], now);
  return [
    { type: 'count', name: 'terms_begun', reason: 'claimed' },
    { type: 'log', level: 'info', code: 'term_begun', fields: { token } },
    ...sendWrite(state, term, write),
    ...openStream(state, 'workers', now),
  ];
};
