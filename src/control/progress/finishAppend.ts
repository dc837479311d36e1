import type { Effect } from '../Effect.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import { dropEndedPlans } from '../plans/dropEndedPlans.js';
import { sendStart } from '../runs/sendStart.js';
import type { StreamWriter } from './StreamWriter.js';

/** Sends the starts and allows the acknowledgements that waited for an append. */
export const finishAppend = (term: Term, writer: StreamWriter, now: Now): Effect[] => {
  const { pending: write } = writer;
  if (!write) return [];
  writer.pending = null;
  write.endsToAcknowledge.forEach(({ workerId, incarnation: born, number }) => {
    const worker = term.workers.get(workerId);
    if (!worker || worker.incarnation !== born) return;
    worker.lastPersistedEnd = Math.max(worker.lastPersistedEnd, number);
    worker.ackDue = true;
    worker.nextPollAt = Math.min(worker.nextPollAt, now.at);
  });
  const starts = write.startsToSend.filter(
    ({ task, run }) => task.state === 'recording' && task.run === run,
  );
  const effects = starts.flatMap(({ task }) => sendStart(term, task, now));
  dropEndedPlans(term, write.records);
  const ms = now.at - write.firstAttemptAt;
  return [{ type: 'observe', name: 'journal_write_ms', ms }, ...effects];
};
