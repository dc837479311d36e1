import type { State } from '../State.js';
import type { CallerAppend } from './CallerAppend.js';

/** Removes an append from the state; a later answer to it is ignored. */
export const removeCallerAppend = (state: State, append: CallerAppend): void => {
  state.callers.appendsByKey.delete(`${append.record.type}/${append.jobId}`);
  state.callers.appendsById.delete(append.appendId);
};
