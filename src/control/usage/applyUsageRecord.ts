import type { Effect } from '../Effect.js';
import type { RecordOf } from '../journal/RecordOf.js';
import type { State } from '../State.js';
import { buildUsageKey } from './buildUsageKey.js';

/** Takes over a total that a former lead wrote. */
export const applyUsageRecord = (state: State, { total, offset }: RecordOf<'usage'>): Effect[] => {
  const { term } = state;
  if (!term) return [];
  const key = buildUsageKey(total);
  const known = term.predecessor.usageOffsets.get(key) ?? -1;
  if (offset <= known) return [];
  term.predecessor.usageOffsets.set(key, offset);
  term.usage.totals.set(key, { ...total });
  return [];
};
