import { answerControl } from './answerControl.js';
import type { WorkerHandlers } from './WorkerHandlers.js';
import { leaseHandlers } from './leaseHandlers.js';
import { requestHandlers } from './requestHandlers.js';
import { taskHandlers } from './taskHandlers.js';

/** Handlers of all events of a backend server. */
export const workerEventHandlers: WorkerHandlers = {
  ...leaseHandlers,
  ...taskHandlers,
  ...requestHandlers,

  usageRead: (state, { requestId, after, at }) => {
    const lines = state.usage
      .filter((entry) => entry.line.seq > after && entry.at + state.usageLagMs <= at)
      .map((entry) => entry.line);
    return [answerControl(state, requestId, { incarnation: state.incarnation, lines })];
  },

  journalRead: (state, { requestId, after }) => {
    const { id, incarnation, droppedConnections } = state;
    const lines = state.journal.slice(after);
    const body = { worker: id, incarnation, droppedConnections, lines };
    return [{ type: 'answer', requestId, status: 200, body }];
  },

  faultsRequested: (state, { requestId, faults, refuseConnectionsMs }) => {
    Object.assign(state.faults, faults);
    return [
      { type: 'answer', requestId, status: 200, body: { ...state.faults } },
      ...(refuseConnectionsMs > 0
        ? [{ type: 'refuseConnections', forMs: refuseConnectionsMs } as const]
        : []),
    ];
  },

  // `reduceWorker` ends due work before it calls a handler.
  tick: () => [],
};
