import type { Effect } from '../Effect.js';
import type { RecordOf } from '../journal/RecordOf.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import { endTerm } from './endTerm.js';

/** Notes a sign of the lead; a higher token than this VM's own ends its term. */
export const applyLeaderRecord = (state: State, record: RecordOf<'lead'>, now: Now): Effect[] => {
  const { leader: lead } = state;
  if (record.token < lead.token) return [];
  const isNewTerm = record.token > lead.token;
  lead.token = record.token;
  lead.vmId = record.vmId;
  lead.resigned = record.resigned;
  lead.lastSeenAt = now.at;
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
