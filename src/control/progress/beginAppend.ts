import type { Effect } from '../Effect.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import type { PendingAppend } from './PendingAppend.js';
import { sendAppend } from './sendAppend.js';

/** Makes an append the pending one of its stream and sends its first attempt. */
export const beginAppend = (
  state: State,
  term: Term,
  append: PendingAppend,
  now: Now,
): Effect[] => {
  const writer = term.writers[append.stream];

  append.sequence = writer.nextSequence;
  writer.nextSequence += 1;
  writer.pending = append;
  writer.lastAppendAt = now.at;
  return sendAppend(state, term, append);
};
