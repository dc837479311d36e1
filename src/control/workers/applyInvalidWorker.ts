import type { Effect } from '../Effect.js';
import type { State } from '../State.js';

/**
 * Applies a registry entry that names no usable worker: the worker gets no new tasks until a valid
 * entry follows. Its runs go on, because an odd entry doesn't show that the worker has left.
 */
export const applyInvalidWorker = (state: State, id: string, field: string): Effect[] => {
  const { term } = state;
  if (!term) return [];
  const count: Effect = { type: 'count', name: 'invalid_worker_entries', reason: field };
  const worker = term.workers.get(id);
  if (worker) worker.entry = null;
  if (term.invalidEntryFields.get(id) === field) return [count];
  term.invalidEntryFields.set(id, field);
  const fields = { worker: id, field, tasks: worker?.tasks.size ?? 0 };
  return [count, { type: 'log', level: 'warn', code: 'worker_entry_invalid', fields }];
};
