import type { JournalRecord } from '../journal/JournalRecord.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import { buildLeaderRecord } from './buildLeaderRecord.js';
import { listExpiredJobIds } from './listExpiredJobIds.js';

// Well below the leader timeout after which another VM claims leadership.
const heartbeatIntervalMs = 500;

const takeUnpublishedStates = (term: Term): JournalRecord[] => {
  const records: JournalRecord[] = [];
  term.unpublishedJobIds.forEach((id) => {
    const plan = term.plans.get(id);
    if (plan) records.push({ type: 'status', id, state: plan.state, endedAt: plan.endedAt });
  });
  term.unpublishedJobIds.clear();
  return records;
};

/** Drops expired jobs; their progress is dropped by the next append to the runs stream. */
const dropExpiredJobs = (state: State, term: Term, now: Now): JournalRecord[] =>
  listExpiredJobIds(state, now).flatMap((id): JournalRecord[] => {
    term.orphanedRecords.push({ recordType: 'progress', id });
    return [
      { type: 'dropped', recordType: 'cancellation', id },
      { type: 'dropped', recordType: 'status', id },
      { type: 'dropped', recordType: 'submission', id },
    ];
  });

const writtenHandover: Record<Term['handover'], Term['handover']> = {
  none: 'none',
  announcing: 'offered',
  offered: 'offered',
  withdrawing: 'none',
};

const isLeaderRecordDue = ({ handover, writers }: Term, now: Now): boolean =>
  writtenHandover[handover] !== handover ||
  now.at - writers.journal.lastAppendAt >= heartbeatIntervalMs;

/** Takes the unpublished job states; adds a leader heartbeat and expired jobs when a heartbeat is due. */
export const takeJournalRecords = (state: State, term: Term, now: Now): JournalRecord[] => {
  const records = takeUnpublishedStates(term);
  if (!isLeaderRecordDue(term, now)) return records;
  const leaderRecord = buildLeaderRecord(state, term);
  term.handover = writtenHandover[term.handover];
  return [leaderRecord, ...records, ...dropExpiredJobs(state, term, now)];
};
