import type { State } from '../State.js';
import type { CallerAppend } from './CallerAppend.js';

/** Forgets an append for callers; an answer that comes later is ignored. */
export const removeCallerAppend = (state: State, append: CallerAppend): void => {
  state.callers.appendsByKey.delete(`${append.record.type}/${append.jobId}`);
  state.callers.appendsById.delete(append.appendId);
};
