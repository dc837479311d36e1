import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import { buildPartId } from './buildPartId.js';
import type { RecordOf } from './RecordOf.js';

/** Keeps the newest state of a part of a job's divided progress until the new leader builds its plans. */
export const applyProgressPart = (
  { term }: State,
  { id, part, tasks, offset }: RecordOf<'progressPart'>,
): Effect[] => {
  const partId = buildPartId(id, part);
  const previous = term?.predecessor.parts.get(partId);
  if (term && (!previous || previous.offset < offset)) {
    term.predecessor.parts.set(partId, { id, part, tasks, offset });
  }
  return [];
};
