import type { Effect } from '../../core/Effect.js';
import { reduce } from '../../core/reduce.js';
import type { State } from '../../core/State.js';
import type { UntimedEvent } from '../../core/UntimedEvent.js';
import { createEventLoop } from './createEventLoop.js';
import type { Loop } from './Loop.js';

/** Creates the loop of a gateway, scheduler or recorder. */
export const createLoop = (state: State): Loop =>
  createEventLoop<UntimedEvent, Effect>((event) => reduce(state, event));
