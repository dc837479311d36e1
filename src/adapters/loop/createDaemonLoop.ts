import type { Effect } from '../../core/Effect.js';
import { reduce } from '../../core/reduce.js';
import type { State } from '../../core/State.js';
import type { UntimedEvent } from '../../core/UntimedEvent.js';
import { createEventLoop } from './createEventLoop.js';
import type { DaemonLoop } from './DaemonLoop.js';

/** Creates the event loop of a gateway, scheduler or recorder. */
export const createDaemonLoop = (state: State): DaemonLoop =>
  createEventLoop<UntimedEvent, Effect>((event) => reduce(state, event));
