import type { Effect } from '../Effect.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import { splitAppend } from './splitAppend.js';
import { measureRecordBytes } from './measureRecordBytes.js';
import type { PendingAppend } from './PendingAppend.js';
import { setJobAside } from './setJobAside.js';

/**
 * Finds out which records of an append the store refuses, by appending its halves one after the other. The progress of
 * a job is set aside; other records are given up until they are written anew.
 */
export const handleRefusedRecords = (term: Term, append: PendingAppend, now: Now): Effect[] => {
  const writer = term.writers[append.stream];
  writer.pending = null;
  // Nothing was appended, so the store still expects this number.
  writer.nextSequence = append.sequence;
  if (append.units.length > 1) {
    writer.queued.unshift(...splitAppend(append));
    return [];
  }
  // The append may have been the last one, which acknowledges the ends.
  term.endAcksDue = true;
  const { jobId, records } = append.units[0]!;
  const fields = {
    stream: append.stream,
    requestId: jobId ?? '',
    types: [...new Set(records.map(({ type }) => type))].join(' '),
    bytes: Math.max(...records.map(measureRecordBytes)),
  };
  return [
    { type: 'log', level: 'error', code: 'records_refused', fields },
    ...(jobId === null ? [] : setJobAside(term, writer, jobId, now)),
  ];
};
