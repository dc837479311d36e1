import type { Effect } from '../Effect.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import { acknowledgeEnds } from './acknowledgeEnds.js';
import { assignStarts } from './assignStarts.js';
import { beginAppend } from './beginAppend.js';
import { createAppend } from './createAppend.js';
import { groupUnits } from './groupUnits.js';
import { isEndHeld } from './isEndHeld.js';
import type { LeaderStream } from './LeaderStream.js';
import type { PendingAppend } from './PendingAppend.js';
import { retryAppend } from './retryAppend.js';
import { takeJournalRecords } from './takeJournalRecords.js';
import { takeRunsUnits } from './takeRunsUnits.js';

// A slow link transfers this within a few tenths of a second, well below the timeout of an append.
const maxAppendBytes = 262_144;

const listUnacknowledgedEnds = (term: Term): PendingAppend['endsToAcknowledge'] =>
  [...term.workers.values()]
    .filter(
      ({ id, lastAppliedEnd, lastPersistedEnd }) =>
        lastAppliedEnd > lastPersistedEnd && !isEndHeld(term, id),
    )
    .map(({ id, incarnation, lastAppliedEnd }) => ({
      workerId: id,
      incarnation,
      endNumber: lastAppliedEnd,
    }));

const listRecordingStarts = (term: Term): PendingAppend['startsToSend'] =>
  [...term.workers.values()].flatMap((worker) =>
    [...worker.tasks.values()]
      .filter(({ state }) => state === 'recording')
      .map((task) => ({ task, run: task.run })),
  );

/** Creates the next appends to a stream, in order. */
const createAppends: Record<
  LeaderStream,
  (state: State, term: Term, maxBytes: number, now: Now) => PendingAppend[]
> = {
  journal: (state, term, maxBytes, now) => {
    const records = takeJournalRecords(state, term, now);
    const units = records.map((record) => ({ jobId: null, records: [record] }));
    return groupUnits(units, maxBytes).map((group) => createAppend('journal', group, now));
  },
  runs: (state, term, maxBytes, now) => {
    const units = takeRunsUnits(term, state.storeLimits, now);
    const groups = groupUnits(units, maxBytes);
    const appends = groups.map((group) => createAppend('runs', group, now));
    const last = appends.at(-1);
    if (!last) {
      acknowledgeEnds(term);
      return [];
    }
    assignStarts(appends, listRecordingStarts(term));
    // Ends are acknowledged by number, so that those of a worker wait for the progress of all its jobs.
    last.endsToAcknowledge = listUnacknowledgedEnds(term);
    term.endAcksDue = false;
    return appends;
  },
};

const advanceWriter = (state: State, term: Term, stream: LeaderStream, now: Now): Effect[] => {
  const writer = term.writers[stream];
  if (writer.pending) return retryAppend(state, term, stream, now);
  if (writer.queued.length === 0) {
    const maxBytes = Math.min(maxAppendBytes, state.storeLimits.maxCallBytes);
    writer.queued = createAppends[stream](state, term, maxBytes, now);
  }
  const next = writer.queued.shift();
  return next ? beginAppend(state, term, next, now) : [];
};

/** Appends changed records, one append per stream at a time, and retries unanswered appends. */
export const appendChanges = (state: State, term: Term, now: Now): Effect[] => [
  ...advanceWriter(state, term, 'runs', now),
  ...advanceWriter(state, term, 'journal', now),
];
