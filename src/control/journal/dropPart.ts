import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import type { RecordOf } from './RecordOf.js';

type Part = RecordOf<'dropped'>['of'];

/** What it means that a part of a job, or an old total of use, was dropped; the submission is the last one in the journal. */
const dropHandlers: Record<Part, (state: State, id: string) => void> = {
  submission: (state, id) => state.jobs.delete(id),
  cancellation: () => undefined,
  status: () => undefined,
  usage: () => undefined,
  progress: (state, id) => state.term?.former.progress.delete(id),
};

/** Forgets what a dropped record told. */
export const dropPart = (state: State, { of, id }: RecordOf<'dropped'>): Effect[] => {
  dropHandlers[of](state, id);
  return [];
};
