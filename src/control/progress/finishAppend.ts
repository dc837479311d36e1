import type { Effect } from '../Effect.js';
import { confirmLead } from '../lead/confirmLead.js';
import { isLeadConfirmed } from '../lead/isLeadConfirmed.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import { dropEndedPlans } from '../plans/dropEndedPlans.js';
import { requeueTask } from '../runs/requeueTask.js';
import { sendStart } from '../runs/sendStart.js';
import type { State } from '../State.js';
import { isCurrent } from '../streams/isCurrent.js';
import { isEndHeld } from './isEndHeld.js';
import type { PendingAppend } from './PendingAppend.js';
import type { StreamWriter } from './StreamWriter.js';

// Shorter than the silence after which another VM claims the lead.
const maxPauseMs = 1000;

/** Time since the append was created in which this VM was not responsive, because of a pause or a long turn. */
const computePauseMs = (append: PendingAppend, now: Now): number =>
  now.at - append.createdAt - (now.responsiveAt - append.createdResponsiveAt);

/**
 * Why the starts of an append must not be sent: another VM may lead by now and have given them up, or their
 * jobs may have been cancelled.
 */
const findWithdrawalCause = (
  state: State,
  term: Term,
  append: PendingAppend,
  now: Now,
): 'leader-paused' | 'lead-unconfirmed' | 'journal-behind' | null => {
  if (computePauseMs(append, now) > maxPauseMs) return 'leader-paused';
  if (!isLeadConfirmed(term, now)) return 'lead-unconfirmed';
  return isCurrent(state, 'journal', now) ? null : 'journal-behind';
};

/** Ends the hold-up of refused jobs whose progress is stored by now. */
const releaseStoredJobs = (term: Term, { queued }: StreamWriter, { units }: PendingAppend): void =>
  units.forEach(({ jobId }) => {
    if (jobId === null || !term.refusedJobs.has(jobId)) return;
    if (queued.some((append) => append.units.some((unit) => unit.jobId === jobId))) return;
    term.refusedJobs.delete(jobId);
    term.endAcksDue = true;
    term.placementDue = true;
  });

/** Completes a successful append: sends or withdraws its starts and allows its ends to be acknowledged. */
export const finishAppend = (
  state: State,
  term: Term,
  writer: StreamWriter,
  now: Now,
): Effect[] => {
  const { pending: append } = writer;
  if (!append) return [];
  writer.pending = null;
  confirmLead(term, append.createdAt, now);
  append.endsToAcknowledge.forEach(({ workerId, incarnation, endNumber }) => {
    const worker = term.workers.get(workerId);
    if (!worker || worker.incarnation !== incarnation || isEndHeld(term, workerId)) return;
    worker.lastPersistedEnd = Math.max(worker.lastPersistedEnd, endNumber);
    worker.ackDue = true;
    worker.nextPollAt = Math.min(worker.nextPollAt, now.at);
  });
  releaseStoredJobs(term, writer, append);
  const starts = append.startsToSend.filter(
    ({ task, run }) => task.state === 'recording' && task.run === run,
  );
  const withdrawalCause = findWithdrawalCause(state, term, append, now);
  const effects = starts.flatMap(({ task }) =>
    withdrawalCause ? requeueTask(term, task, withdrawalCause, now) : sendStart(term, task, now),
  );
  dropEndedPlans(
    term,
    append.units.flatMap(({ records }) => records),
  );
  const ms = now.at - append.createdAt;
  return [{ type: 'observe', name: 'journal_write_ms', ms }, ...effects];
};
