import type { Effect } from '../Effect.js';
import type { NodeId } from '../NodeId.js';
import type { State } from '../State.js';
import { sendFullCopy } from './sendFullCopy.js';

/** Sends all keys and jobs known to a scheduler that is not lead. Cost: O(keys + jobs). */
export const sendSupplement = (state: State, to: NodeId): Effect[] =>
  sendFullCopy(state, to).map((effect) =>
    effect.type === 'send' && effect.message.type === 'replicate'
      ? { ...effect, message: { ...effect.message, complete: false, supplement: true } }
      : effect,
  );
