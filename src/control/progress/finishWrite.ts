import type { Effect } from '../Effect.js';
import { applyProgress } from '../journal/applyProgress.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import { isJobEnded } from '../plans/isJobEnded.js';
import { sendStart } from '../runs/sendStart.js';
import type { State } from '../State.js';
import type { PendingWrite } from './PendingWrite.js';

const dropEndedPlans = (term: Term, write: PendingWrite): void => {
  write.records.forEach((record) => {
    if (record.type !== 'progress' || !isJobEnded(record.progress.state)) return;
    if (!term.dirty.has(record.id)) term.plans.delete(record.id);
  });
};

/** Sends the starts and allows the acknowledgements that waited for an append. */
export const finishWrite = (
  state: State,
  term: Term,
  write: PendingWrite,
  offset: number,
  now: Now,
): Effect[] => {
  term.write = null;
  write.records.forEach((record, index) => {
    if (record.type === 'progress')
      applyProgress(state, record.id, record.progress, offset + index);
  });
  write.ends.forEach(({ workerId, born, number }) => {
    const worker = term.workers.get(workerId);
    if (!worker || worker.born !== born) return;
    worker.lastSeen = Math.max(worker.lastSeen, number);
    worker.ackDue = true;
    worker.nextHoldAt = Math.min(worker.nextHoldAt, now.at);
  });
  const starts = write.starts.filter(
    ({ task, run }) => task.state === 'recording' && task.run === run,
  );
  const effects = starts.flatMap(({ task }) => sendStart(term, task, now));
  dropEndedPlans(term, write);
  return [{ type: 'observe', name: 'journal_write_ms', ms: now.at - write.firstAt }, ...effects];
};
