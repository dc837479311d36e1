import type { Effect } from '../Effect.js';
import type { Now } from '../Now.js';
import type { StreamWriter } from '../progress/StreamWriter.js';
import type { State } from '../State.js';
import { openStream } from '../streams/openStream.js';
import type { Term } from './Term.js';

const createWriter = (now: Now): StreamWriter => ({
  nextSequence: 0,
  pending: null,
  queued: [],
  lastAppendAt: now.at,
  fenceEndOffset: Number.POSITIVE_INFINITY,
});

/** Begins a term, which first fences the former leader out of both leader streams. */
export const beginTerm = (state: State, token: number, now: Now): Effect[] => {
  const term: Term = {
    token,
    phase: 'fencing',
    phaseStartedAt: now.at,
    startedAt: now.at,
    fencedAt: Number.POSITIVE_INFINITY,
    confirmedAt: now.at,
    steadySince: now.at,
    handover: 'none',
    predecessor: {
      progress: new Map(),
      heads: new Map(),
      parts: new Map(),
      speeds: new Map(),
      usageOffsets: new Map(),
    },
    plans: new Map(),
    workers: new Map(),
    invalidEntryFields: new Map(),
    incompleteGangs: new Set(),
    unwrittenTasks: new Map(),
    refusedJobs: new Map(),
    unpublishedJobIds: new Set(),
    orphanedRecords: [],
    writers: { journal: createWriter(now), runs: createWriter(now) },
    urgentDemand: { peakGpu: 0, updatedAt: now.at, newestAcceptedAt: 0, newestObservedAt: now.at },
    usage: { totals: new Map(), unwrittenKeys: new Set() },
    logOverrunByQueue: new Map(),
    speedsWrittenAt: now.at,
    urgentWorkerIds: new Set(),
    endAcksDue: false,
    lastPlacementAt: now.at,
    nextPlacementAt: now.at,
    placementDue: false,
  };
  state.term = term;
  state.election.lastOwnToken = token;
  state.leader.token = token;
  state.leader.vmId = state.self.vmId;
  state.leader.resigned = false;
  return [
    { type: 'count', name: 'terms_begun', reason: 'claimed' },
    { type: 'log', level: 'info', code: 'term_begun', fields: { token } },
    ...openStream(state, 'runs', now),
    ...openStream(state, 'workers', now),
  ];
};
