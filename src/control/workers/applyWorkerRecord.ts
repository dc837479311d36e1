import type { Effect } from '../Effect.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import { describeWorkerView } from './describeWorkerView.js';
import { getOrCreateWorker } from './getOrCreateWorker.js';
import type { WorkerEntry } from './WorkerEntry.js';

/** Applies a change in the registry of workers; only the leader follows it. */
export const applyWorkerRecord = (
  state: State,
  id: string,
  entry: WorkerEntry | null,
  now: Now,
): Effect[] => {
  const { term } = state;
  if (!term) return [];
  const wasInvalid = term.invalidEntryFields.delete(id);
  const worker = getOrCreateWorker(term, id, now);
  const previous = worker.entry;
  worker.entry = entry;
  if (!entry) {
    if (!previous && !wasInvalid) return [];
    worker.removedAt = now.at;
    const fields = { worker: id, tasks: worker.tasks.size, ...describeWorkerView(worker, now) };
    return [{ type: 'log', level: 'info', code: 'worker_gone', fields }];
  }
  worker.removedAt = null;
  worker.address = entry.address;
  worker.draining = entry.state === 'draining';
  const effects: Effect[] = [];
  if (previous?.state !== entry.state || previous.incarnation !== entry.incarnation) {
    term.placementDue = true;
    const fields = { worker: id, state: entry.state, born: entry.incarnation, zone: entry.zone };
    effects.push({ type: 'log', level: 'info', code: 'worker_listed', fields });
  }
  if (previous && entry.incarnation > previous.incarnation) {
    // Only a listing shows which calls reached the new incarnation; connections to the former one are
    // dead.
    effects.push({ type: 'closeWorkerConnections', address: previous.address });
    worker.nextPollAt = now.at;
  }
  return effects;
};
