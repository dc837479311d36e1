import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import type { RecordOf } from './RecordOf.js';

/** Keeps the newest stored progress of a job until the new leader builds its plans. */
export const applyProgress = (state: State, record: RecordOf<'progress'>): Effect[] => {
  const { term } = state;
  if (!term) return [];
  const previous = term.predecessor.progress.get(record.id);
  if (previous && previous.offset >= record.offset) return [];
  term.predecessor.progress.set(record.id, { ...record.progress, offset: record.offset });
  return [];
};
