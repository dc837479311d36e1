import type { Effect } from '../Effect.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import { dropEndedPlans } from '../plans/dropEndedPlans.js';
import { sendStart } from '../runs/sendStart.js';
import type { StreamWriter } from './StreamWriter.js';

/** Completes a successful append: sends its starts and allows its ends to be acknowledged. */
export const finishAppend = (term: Term, writer: StreamWriter, now: Now): Effect[] => {
  const { pending: append } = writer;
  if (!append) return [];
  writer.pending = null;
  append.endsToAcknowledge.forEach(({ workerId, incarnation, endNumber }) => {
    const worker = term.workers.get(workerId);
    if (!worker || worker.incarnation !== incarnation) return;
    worker.lastPersistedEnd = Math.max(worker.lastPersistedEnd, endNumber);
    worker.ackDue = true;
    worker.nextPollAt = Math.min(worker.nextPollAt, now.at);
  });
  const starts = append.startsToSend.filter(
    ({ task, run }) => task.state === 'recording' && task.run === run,
  );
  const effects = starts.flatMap(({ task }) => sendStart(term, task, now));
  dropEndedPlans(term, append.records);
  const ms = now.at - append.firstAttemptAt;
  return [{ type: 'observe', name: 'journal_write_ms', ms }, ...effects];
};
