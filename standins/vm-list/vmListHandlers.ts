import type { HttpEffect } from '../shared/HttpEffect.js';
import type { StandInHandlers } from '../shared/StandInHandlers.js';
import type { VmListEvent } from './VmListEvent.js';
import type { VmListState } from './VmListState.js';

const answerUnlessOutage = (state: VmListState, requestId: string, body: unknown): HttpEffect =>
  state.outage
    ? { type: 'answer', requestId, status: 503, body: { error: 'unavailable' } }
    : { type: 'answer', requestId, status: 200, body };

/** Handlers of the VM list. */
export const vmListHandlers: StandInHandlers<VmListState, VmListEvent, HttpEffect> = {
  listRequested: (state, { requestId }) => [
    answerUnlessOutage(state, requestId, {
      vms: [...state.shown].map(([id, vmState]) => ({ id, state: vmState })),
    }),
  ],

  changeRequested: (state, { requestId, id, state: vmState, at }) => {
    if (!state.outage) state.pending.push({ dueAt: at + state.lagMs, id, state: vmState });
    return [answerUnlessOutage(state, requestId, { id, state: vmState })];
  },

  faultsRequested: (state, { requestId, outage }) => {
    state.outage = outage;
    return [{ type: 'answer', requestId, status: 200, body: { outage } }];
  },

  // `reduceVmList` applies due changes before it calls a handler, so the list needs no timer.
  tick: () => [],
};
