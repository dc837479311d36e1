import type { Effect } from '../Effect.js';
import type { RecordOf } from '../journal/RecordOf.js';
import type { State } from '../State.js';
import { buildUsageKey } from './buildUsageKey.js';

/** Restores a usage total that a former leader wrote; ignores older records of the same total. */
export const applyUsageRecord = (state: State, { total, offset }: RecordOf<'usage'>): Effect[] => {
  const { term } = state;
  if (!term) return [];
  const key = buildUsageKey(total);
  const knownOffset = term.predecessor.usageOffsets.get(key) ?? -1;
  if (offset <= knownOffset) return [];
  term.predecessor.usageOffsets.set(key, offset);
  term.usage.totals.set(key, { ...total });
  return [];
};
