import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import type { CallerAppend } from './CallerAppend.js';

// Leaves time for more attempts on other connections before most callers give up.
const appendTimeoutMs = 800;

/** Sends an append for callers, for the first time or again. */
export const sendCallerAppend = (state: State, append: CallerAppend): Effect[] => {
  state.lastCallId += 1;
  append.appendId = state.lastCallId;
  append.retryAt = null;
  state.callers.appendsById.set(append.appendId, append);
  return [
    {
      type: 'append',
      appendId: append.appendId,
      stream: 'journal',
      records: [append.record],
      condition: { type: 'none' },
      timeoutMs: appendTimeoutMs,
    },
  ];
};
