import { applyHandler } from '../shared/applyHandler.js';
import type { Timed } from '../shared/Timed.js';
import { findNextExpiry } from './findNextExpiry.js';
import type { StoreEffect } from './StoreEffect.js';
import type { StoreEvent } from './StoreEvent.js';
import { storeHandlers } from './storeHandlers.js';
import type { StoreState } from './StoreState.js';

/** Handles one event of the store. */
export const reduceStore = (state: StoreState, event: Timed<StoreEvent>): StoreEffect[] => {
  const effects = applyHandler<StoreState, StoreEvent, StoreEffect>(storeHandlers, state, event);
  const pollsDueAt = state.polls.map((poll) => poll.dueAt);
  const dueAt = Math.min(...pollsDueAt, findNextExpiry(state) ?? Number.POSITIVE_INFINITY);
  return [...effects, { type: 'wake', at: Number.isFinite(dueAt) ? dueAt : null }];
};
