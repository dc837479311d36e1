import type { Effect } from '../Effect.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import { acknowledgeEnds } from './acknowledgeEnds.js';
import { takeJournalRecords } from './takeJournalRecords.js';
import { takeRunsRecords } from './takeRunsRecords.js';
import { createAppend } from './createAppend.js';
import type { LeaderStream } from './LeaderStream.js';
import type { PendingAppend } from './PendingAppend.js';
import { retryAppend } from './retryAppend.js';
import { sendAppend } from './sendAppend.js';

const listUnacknowledgedEnds = (term: Term): PendingAppend['endsToAcknowledge'] =>
  [...term.workers.values()]
    .filter(({ lastAppliedEnd, lastPersistedEnd }) => lastAppliedEnd > lastPersistedEnd)
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

/** Creates the next append to a stream, or null if there is nothing to write. */
const beginAppend: Record<
  LeaderStream,
  (state: State, term: Term, now: Now) => PendingAppend | null
> = {
  journal: (state, term, now) => {
    const records = takeJournalRecords(state, term, now);
    return records.length > 0 ? createAppend(term, 'journal', records, now) : null;
  },
  runs: (_state, term, now) => {
    const records = takeRunsRecords(term, now);
    if (records.length === 0) {
      acknowledgeEnds(term);
      return null;
    }
    const append = createAppend(term, 'runs', records, now);
    append.startsToSend = listRecordingStarts(term);
    append.endsToAcknowledge = listUnacknowledgedEnds(term);
    term.endAcksDue = false;
    return append;
  },
};

const advanceWriter = (state: State, term: Term, stream: LeaderStream, now: Now): Effect[] => {
  if (term.writers[stream].pending) return retryAppend(state, term, stream, now);
  const next = beginAppend[stream](state, term, now);
  return next ? sendAppend(state, term, next) : [];
};

/** Appends changed records, one append per stream at a time, and retries unanswered appends. */
export const appendChanges = (state: State, term: Term, now: Now): Effect[] => [
  ...advanceWriter(state, term, 'runs', now),
  ...advanceWriter(state, term, 'journal', now),
];
