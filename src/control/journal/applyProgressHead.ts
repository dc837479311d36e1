import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import type { RecordOf } from './RecordOf.js';

/** Keeps the newest head of a job's divided progress until the new leader builds its plans. */
export const applyProgressHead = (
  { term }: State,
  { id, head, offset }: RecordOf<'progressHead'>,
): Effect[] => {
  const previous = term?.predecessor.heads.get(id);
  if (term && (!previous || previous.offset < offset)) {
    term.predecessor.heads.set(id, { ...head, offset });
  }
  return [];
};
