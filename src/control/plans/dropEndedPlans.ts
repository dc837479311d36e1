import type { JournalRecord } from '../journal/JournalRecord.js';
import type { RunsRecord } from '../journal/RunsRecord.js';
import type { Term } from '../lead/Term.js';
import { isJobEnded } from './isJobEnded.js';

type WrittenRecord = JournalRecord | RunsRecord;

const getPlanId = (record: WrittenRecord): string | null =>
  record.type === 'progress' || record.type === 'status' ? record.id : null;

const isBeingWritten = ({ writers }: Term, id: string): boolean =>
  Object.values(writers).some(({ pending, queued }) =>
    [...(pending ? [pending] : []), ...queued].some(({ units }) =>
      units.some(({ records }) => records.some((record) => getPlanId(record) === id)),
    ),
  );

/** Deletes the plans of ended jobs once both streams contain the end. */
export const dropEndedPlans = (term: Term, written: readonly WrittenRecord[]): void => {
  written.forEach((record) => {
    const id = getPlanId(record);
    const plan = id === null ? undefined : term.plans.get(id);
    if (!plan || !isJobEnded(plan.state)) return;
    if (term.unwrittenTasks.has(plan.id) || term.unpublishedJobIds.has(plan.id)) return;
    if (!isBeingWritten(term, plan.id)) term.plans.delete(plan.id);
  });
};
