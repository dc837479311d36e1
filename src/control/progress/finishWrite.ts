import type { Effect } from '../Effect.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import { dropEndedPlans } from '../plans/dropEndedPlans.js';
import { sendStart } from '../runs/sendStart.js';
import type { LeadWriter } from './LeadWriter.js';

/** Sends the starts and allows the acknowledgements that waited for an append. */
export const finishWrite = (term: Term, writer: LeadWriter, now: Now): Effect[] => {
  const { write } = writer;
  if (!write) return [];
  writer.write = null;
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
  dropEndedPlans(term, write.records);
  const ms = now.at - write.firstAt;
  return [{ type: 'observe', name: 'journal_write_ms', ms }, ...effects];
};
