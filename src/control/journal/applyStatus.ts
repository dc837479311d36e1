import type { Effect } from '../Effect.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import { getOrCreateJob } from './getOrCreateJob.js';
import type { RecordOf } from './RecordOf.js';

/** Replaces a job's published state by a newer one, which is also a sign of the lead. */
export const applyStatus = (state: State, record: RecordOf<'status'>, now: Now): Effect[] => {
  const job = getOrCreateJob(state, record.id);
  state.leader.lastSeenAt = now.at;
  if (record.offset <= job.statusOffset) return [];
  job.state = record.state;
  job.endedAt = record.endedAt;
  job.statusOffset = record.offset;
  return [];
};
