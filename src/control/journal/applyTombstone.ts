import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import type { RecordOf } from './RecordOf.js';

type DroppedRecordType = RecordOf<'dropped'>['recordType'];

/** What it means that a part of a job, or an old total of use, was dropped; the submission is the last one in the journal. */
const tombstoneHandlers: Record<DroppedRecordType, (state: State, id: string) => void> = {
  submission: (state, id) => state.jobs.delete(id),
  cancellation: () => undefined,
  status: () => undefined,
  usage: () => undefined,
  progress: (state, id) => state.term?.predecessor.progress.delete(id),
};

/** Forgets what a dropped record told. */
export const applyTombstone = (state: State, { recordType: of, id }: RecordOf<'dropped'>): Effect[] => {
  tombstoneHandlers[of](state, id);
  return [];
};
