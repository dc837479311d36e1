import type { Effect } from '../Effect.js';
import type { RecordOf } from '../journal/RecordOf.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import { endTerm } from './endTerm.js';

/** Updates the view of the leader from its record; a token above this VM's own ends its term. */
export const applyLeaderRecord = (state: State, record: RecordOf<'lead'>, now: Now): Effect[] => {
  const { leader } = state;
  if (record.token < leader.token) return [];
  const isNewTerm = record.token > leader.token;
  leader.token = record.token;
  leader.vmId = record.vmId;
  leader.resigned = record.resigned;
  leader.lastSeenAt = now.responsiveAt;
  const effects: Effect[] = [];
  if (isNewTerm) {
    const fields = { token: record.token, lead: record.vmId };
    effects.push({ type: 'log', level: 'info', code: 'lead_changed', fields });
  }
  if (state.term && record.token > state.term.token) {
    effects.push(...endTerm(state, 'higher-token', now));
  }
  return effects;
};
