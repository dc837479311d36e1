import { applyHandler } from '../shared/applyHandler.js';
import type { HttpEffect } from '../shared/HttpEffect.js';
import type { Timed } from '../shared/Timed.js';
import type { VmListEvent } from './VmListEvent.js';
import { vmListHandlers } from './vmListHandlers.js';
import type { VmListState } from './VmListState.js';

const applyDueChanges = (state: VmListState, at: number): void => {
  const due = state.pending.filter((change) => change.dueAt <= at);
  state.pending = state.pending.slice(due.length);
  due.forEach((change) => {
    if (change.state === null) state.shown.delete(change.id);
    else state.shown.set(change.id, change.state);
  });
};

/** Handles one event of the VM list. */
export const reduceVmList = (state: VmListState, event: Timed<VmListEvent>): HttpEffect[] => {
  applyDueChanges(state, event.at);
  return applyHandler(vmListHandlers, state, event);
};
