import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { appendTree } from './appendTree.js';
import { expireProposals } from './expireProposals.js';
import { readTail } from './readTail.js';

/** Expires proposals, reads the `settings` stream and appends the tree on a recorder, as due. */
export const handleTick = (state: State, { at, wall }: EventOf<'tick'>): Effect[] => {
  if (state.self.role !== 'recorder') return [];
  return [...expireProposals(state, at), ...readTail(state, at), ...appendTree(state, at, wall)];
};
