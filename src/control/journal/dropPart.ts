import type { Effect } from '../Effect.js';
import type { State } from '../State.js';

/** Forgets a job whose records were dropped; the submission is the last part to be dropped. */
export const dropPart = (
  state: State,
  part: 'submission' | 'cancellation' | 'progress',
  id: string,
): Effect[] => {
  if (part === 'submission') state.jobs.delete(id);
  return [];
};
