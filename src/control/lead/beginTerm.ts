import type { Effect } from '../Effect.js';
import type { Now } from '../Now.js';
import { buildLeadRecord } from '../progress/buildLeadRecord.js';
import { createWrite } from '../progress/createWrite.js';
import type { LeadStream } from '../progress/LeadStream.js';
import type { LeadWriter } from '../progress/LeadWriter.js';
import { sendWrite } from '../progress/sendWrite.js';
import type { State } from '../State.js';
import { openStream } from '../streams/openStream.js';
import type { Term } from './Term.js';

const streams: readonly LeadStream[] = ['journal', 'runs'];

const createWriter = (now: Now): LeadWriter => ({
  sequence: 0,
  write: null,
  lastAt: now.at,
  fenceEnd: Number.POSITIVE_INFINITY,
});

/** Begins a term: the first append to each of the lead's streams shuts the former lead out of it. */
export const beginTerm = (state: State, token: number, now: Now): Effect[] => {
  const term: Term = {
    token,
    phase: 'fencing',
    phaseSince: now.at,
    since: now.at,
    former: { progress: new Map(), speeds: [], usageOffsets: new Map() },
    plans: new Map(),
    workers: new Map(),
    brokenGangs: new Set(),
    dirty: new Set(),
    unpublished: new Set(),
    orphans: new Set(),
    writers: { journal: createWriter(now), runs: createWriter(now) },
    urgentDemand: { gpu: 0, at: now.at, newest: 0, newestAt: now.at },
    usage: { totals: new Map(), due: new Set() },
    overruns: new Map(),
    speedsAt: now.at,
    keptWorkers: new Set(),
    endsDue: false,
    lastPassAt: now.at,
    placementDue: false,
  };
  state.term = term;
  state.election.lastToken = token;
  state.lead.token = token;
  state.lead.vmId = state.self.vmId;
  state.lead.resigned = false;
  const fences = streams.flatMap((stream) =>
    sendWrite(state, term, createWrite(term, stream, [buildLeadRecord(state, term)], now)),
  );
  return [
    { type: 'count', name: 'terms_begun', reason: 'claimed' },
    { type: 'log', level: 'info', code: 'term_begun', fields: { token } },
    ...fences,
    ...openStream(state, 'runs', now),
    ...openStream(state, 'workers', now),
  ];
};
