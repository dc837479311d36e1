import type { Effect } from '../Effect.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import { getJob } from './getJob.js';
import type { RecordOf } from './RecordOf.js';

/** Replaces a job's published state by a newer one, which is also a sign of the lead. */
export const applyStatus = (state: State, record: RecordOf<'status'>, now: Now): Effect[] => {
  const job = getJob(state, record.id);
  state.lead.lastSeenAt = now.at;
  if (record.offset <= job.stateOffset) return [];
  job.state = record.state;
  job.endedAt = record.endedAt;
  job.stateOffset = record.offset;
  return [];
};
