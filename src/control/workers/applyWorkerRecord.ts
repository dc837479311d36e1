import type { Effect } from '../Effect.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import { getWorker } from './getWorker.js';
import type { WorkerEntry } from './WorkerEntry.js';

/** Takes over a change in the registry; only the lead follows it. */
export const applyWorkerRecord = (
  state: State,
  id: string,
  entry: WorkerEntry | null,
  now: Now,
): Effect[] => {
  const { term } = state;
  if (!term) return [];
  const worker = getWorker(term, id, now);
  const before = worker.entry;
  worker.entry = entry;
  if (!entry) {
    if (!before) return [];
    worker.removedAt = now.at;
    const fields = { worker: id, tasks: worker.tasks.size };
    return [{ type: 'log', level: 'info', code: 'worker_gone', fields }];
  }
  worker.removedAt = null;
  worker.address = entry.address;
  worker.leaving = entry.state === 'draining';
  const effects: Effect[] = [];
  if (before?.state !== entry.state || before.born !== entry.born) {
    term.placementDue = true;
    const fields = { worker: id, state: entry.state, born: entry.born, zone: entry.zone };
    effects.push({ type: 'log', level: 'info', code: 'worker_listed', fields });
  }
  if (before && entry.born > before.born) {
    // Only a listing tells what reached the new life; connections to the former one are dead.
    effects.push({ type: 'forgetWorker', address: before.address });
    worker.nextHoldAt = now.at;
  }
  return effects;
};
