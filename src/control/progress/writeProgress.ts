import type { Effect } from '../Effect.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import { acknowledgeEnds } from './acknowledgeEnds.js';
import { buildJournalRecords } from './buildJournalRecords.js';
import { buildRunsRecords } from './buildRunsRecords.js';
import { createWrite } from './createWrite.js';
import type { LeadStream } from './LeadStream.js';
import type { PendingWrite } from './PendingWrite.js';
import { retryWrite } from './retryWrite.js';
import { sendWrite } from './sendWrite.js';

const listEnds = (term: Term): PendingWrite['ends'] =>
  [...term.workers.values()]
    .filter(({ lastEnd, lastSeen }) => lastEnd > lastSeen)
    .map(({ id, born, lastEnd }) => ({ workerId: id, born, number: lastEnd }));

const listStarts = (term: Term): PendingWrite['starts'] =>
  [...term.workers.values()].flatMap((worker) =>
    [...worker.tasks.values()]
      .filter(({ state }) => state === 'recording')
      .map((task) => ({ task, run: task.run })),
  );

const beginWrite: Record<LeadStream, (state: State, term: Term, now: Now) => PendingWrite | null> =
  {
    journal: (state, term, now) => {
      const records = buildJournalRecords(state, term, now);
      return records.length > 0 ? createWrite(term, 'journal', records, now) : null;
    },
    runs: (_state, term, now) => {
      const records = buildRunsRecords(term, now);
      if (records.length === 0) {
        acknowledgeEnds(term);
        return null;
      }
      const write = createWrite(term, 'runs', records, now);
      write.starts = listStarts(term);
      write.ends = listEnds(term);
      term.endsDue = false;
      return write;
    },
  };

const advanceWriter = (state: State, term: Term, stream: LeadStream, now: Now): Effect[] => {
  if (term.writers[stream].write) return retryWrite(state, term, stream, now);
  const next = beginWrite[stream](state, term, now);
  return next ? sendWrite(state, term, next) : [];
};

/** Writes down what changed, one append to a stream at a time; repeats one without an answer. */
export const writeProgress = (state: State, term: Term, now: Now): Effect[] => [
  ...advanceWriter(state, term, 'runs', now),
  ...advanceWriter(state, term, 'journal', now),
];
