import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import type { RecordOf } from './RecordOf.js';

type DroppedRecordType = RecordOf<'dropped'>['recordType'];

/**
 * What a tombstone changes, by the type of the dropped record. The submission of a job is dropped last,
 * so only its tombstone deletes the job.
 */
const tombstoneHandlers: Record<DroppedRecordType, (state: State, id: string) => void> = {
  submission: (state, id) => state.jobs.delete(id),
  cancellation: () => undefined,
  status: () => undefined,
  usage: () => undefined,
  progress: (state, id) => state.term?.predecessor.progress.delete(id),
  progressHead: (state, id) => state.term?.predecessor.heads.delete(id),
  progressPart: (state, id) => state.term?.predecessor.parts.delete(id),
};

/** Applies a tombstone. */
export const applyTombstone = (state: State, { recordType, id }: RecordOf<'dropped'>): Effect[] => {
  tombstoneHandlers[recordType](state, id);
  return [];
};
