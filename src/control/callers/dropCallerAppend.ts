import type { State } from '../State.js';
import type { CallerAppend } from './CallerAppend.js';

/** Forgets an append for callers; an answer that comes later is ignored. */
export const dropCallerAppend = (state: State, append: CallerAppend): void => {
  state.callers.byJob.delete(`${append.record.type}/${append.jobId}`);
  state.callers.appends.delete(append.appendId);
};
