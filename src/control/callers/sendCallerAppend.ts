import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import type { CallerAppend } from './CallerAppend.js';

// Short enough for further attempts on other connections before most callers stop waiting.
const appendTimeoutMs = 800;

/** Sends the first or a repeated attempt of an append for callers. */
export const sendCallerAppend = (state: State, append: CallerAppend): Effect[] => {
  state.lastCallId += 1;
  append.appendId = state.lastCallId;
  append.nextAttemptAt = null;
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
