import type { Effect } from '../Effect.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import { getOrCreateJob } from './getOrCreateJob.js';
import type { RecordOf } from './RecordOf.js';

/** Applies a newer published state of a job; the record also shows that the leader is active. */
export const applyStatus = (state: State, record: RecordOf<'status'>, now: Now): Effect[] => {
  const job = getOrCreateJob(state, record.id);
  state.leader.lastSeenAt = now.responsiveAt;
  if (record.offset <= job.statusOffset) return [];
  job.state = record.state;
  job.endedAt = record.endedAt;
  job.statusOffset = record.offset;
  return [];
};
