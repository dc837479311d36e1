import type { Effect } from '../Effect.js';
import type { JournalRecord } from '../journal/JournalRecord.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import { buildProgress } from '../plans/buildProgress.js';
import type { State } from '../State.js';
import { buildLeadRecord } from './buildLeadRecord.js';
import { createWrite } from './createWrite.js';
import { listExpired } from './listExpired.js';
import { listSpeeds } from './listSpeeds.js';
import type { PendingWrite } from './PendingWrite.js';
import { sendWrite } from './sendWrite.js';

// Well below the silence after which another VM claims the lead.
const beatEveryMs = 500;

const acknowledgeEnds = (term: Term): void => {
  term.endsDue = false;
  term.workers.forEach((worker) => {
    if (worker.lastSeen === worker.lastEnd) return;
    worker.lastSeen = worker.lastEnd;
    worker.ackDue = true;
  });
};

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

const buildRecords = (state: State, term: Term, now: Now): JournalRecord[] => {
  const records: JournalRecord[] = [];
  term.dirty.forEach((id) => {
    const plan = term.plans.get(id);
    if (plan) records.push({ type: 'progress', id, progress: buildProgress(plan) });
  });
  const due = now.at - term.lastWriteAt >= beatEveryMs;
  if (due) {
    const speeds = listSpeeds(term, now);
    records.push(buildLeadRecord(state, term), ...speeds, ...listExpired(state, now));
  }
  return records;
};

/** Writes down what changed, one append at a time; repeats an append without an answer. */
export const writeProgress = (state: State, term: Term, now: Now): Effect[] => {
  const { write } = term;
  if (write) {
    const due = write.retryAt !== null && now.at >= write.retryAt;
    return due ? sendWrite(state, term, write) : [];
  }
  const records = buildRecords(state, term, now);
  if (records.length === 0) {
    if (term.endsDue) acknowledgeEnds(term);
    return [];
  }
  const next = createWrite(term, records, now);
  next.starts = listStarts(term);
  next.ends = listEnds(term);
  term.dirty.clear();
  term.endsDue = false;
  term.lastWriteAt = now.at;
  return sendWrite(state, term, next);
};
