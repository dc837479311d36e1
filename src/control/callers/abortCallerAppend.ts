import type { Effect } from '../Effect.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import type { CallerAppend } from './CallerAppend.js';
import type { CallerRefusal } from './CallerRefusal.js';
import { refuseAppendRequests } from './refuseAppendRequests.js';
import { removeCallerAppend } from './removeCallerAppend.js';

/** Aborts an append and refuses the requests that wait for it. */
export const abortCallerAppend = (
  state: State,
  append: CallerAppend,
  reason: CallerRefusal,
  now: Now,
): Effect[] => {
  removeCallerAppend(state, append);
  return refuseAppendRequests(state, append, append.requestIds, reason, now);
};
