import type { JournalRecord } from '../journal/JournalRecord.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import { buildLeadRecord } from './buildLeadRecord.js';
import { listExpired } from './listExpired.js';

// Well below the silence after which another VM claims the lead.
const beatEveryMs = 500;

const listStates = (term: Term): JournalRecord[] => {
  const records: JournalRecord[] = [];
  term.unpublished.forEach((id) => {
    const plan = term.plans.get(id);
    if (plan) records.push({ type: 'status', id, state: plan.state, endedAt: plan.endedAt });
  });
  term.unpublished.clear();
  return records;
};

/** The progress of an expired job goes with the next append to the runs' stream. */
const dropExpired = (state: State, term: Term, now: Now): JournalRecord[] =>
  listExpired(state, now).flatMap((id): JournalRecord[] => {
    term.orphans.add(id);
    return [
      { type: 'dropped', of: 'cancellation', id },
      { type: 'dropped', of: 'status', id },
      { type: 'dropped', of: 'submission', id },
    ];
  });

/** Takes out the states that callers were not told yet; some of the time with a sign of the lead. */
export const buildJournalRecords = (state: State, term: Term, now: Now): JournalRecord[] => {
  const records = listStates(term);
  if (now.at - term.writers.journal.lastAt < beatEveryMs) return records;
  return [...records, buildLeadRecord(state, term), ...dropExpired(state, term, now)];
};
