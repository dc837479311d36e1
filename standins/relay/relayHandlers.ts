import type { StandInHandlers } from '../shared/StandInHandlers.js';
import { listSides } from './listSides.js';
import type { RelayEffect } from './RelayEffect.js';
import type { RelayEvent } from './RelayEvent.js';
import type { RelaySideState } from './RelaySideState.js';
import type { RelayDelivery } from './RelayDelivery.js';
import type { RelaySide } from './RelaySide.js';
import type { RelayState } from './RelayState.js';
import { updateConnection } from './updateConnection.js';

interface ConnectionEvent {
  connectionId: string;
  at: number;
}

const createSideState = (): RelaySideState => ({
  queue: [],
  reading: false,
  blocked: false,
  closed: false,
});

const resetBothSides = (connectionId: string): RelayEffect[] =>
  listSides().map(({ side }) => ({ type: 'resetSide', connectionId, side }));

const updateConnectionOfEvent = (
  state: RelayState,
  { connectionId, at }: ConnectionEvent,
): RelayEffect[] => {
  const connection = state.connections.get(connectionId);
  return connection ? updateConnection(state, connectionId, connection, at) : [];
};

const updateAllConnections = (state: RelayState, at: number): RelayEffect[] =>
  [...state.connections].flatMap(([id, connection]) => updateConnection(state, id, connection, at));

const enqueueDelivery = (
  state: RelayState,
  event: ConnectionEvent & { side: RelaySide },
  delivery: Pick<RelayDelivery, 'kind'> & { data?: Buffer },
): RelayEffect[] => {
  const dueAt = event.at + state.faults.delayMs;
  const sideState = state.connections.get(event.connectionId)?.sides[event.side];
  sideState?.queue.push({ ...delivery, dueAt } as RelayDelivery);
  return updateConnectionOfEvent(state, event);
};

const setBlocked = (
  state: RelayState,
  event: ConnectionEvent & { side: RelaySide },
  blocked: boolean,
): RelayEffect[] => {
  const sideState = state.connections.get(event.connectionId)?.sides[event.side];
  if (sideState) sideState.blocked = blocked;
  return updateConnectionOfEvent(state, event);
};

/** Handlers of the relay, by event type. */
export const relayHandlers: StandInHandlers<RelayState, RelayEvent, RelayEffect> = {
  connectionOpened: (state, event) => {
    const { connectionId } = event;
    const { cut, cutMode } = state.faults;
    if (cut && cutMode === 'reset') return resetBothSides(connectionId);
    const sides = { client: createSideState(), target: createSideState() };
    state.connections.set(connectionId, { targetOpened: false, sides });
    return updateConnectionOfEvent(state, event);
  },

  dataRead: (state, event) => enqueueDelivery(state, event, { kind: 'data', data: event.data }),

  sideEnded: (state, event) => enqueueDelivery(state, event, { kind: 'end' }),

  sideClosed: (state, event) => {
    const connection = state.connections.get(event.connectionId);
    if (!connection) return [];
    connection.sides[event.side].closed = true;
    if (connection.sides.client.closed && connection.sides.target.closed) {
      state.connections.delete(event.connectionId);
      return [];
    }
    // A failure is forwarded like data, so that a cut in freeze mode hides it too.
    return event.failed ? enqueueDelivery(state, event, { kind: 'reset' }) : [];
  },

  writeBlocked: (state, event) => setBlocked(state, event, true),

  writeDrained: (state, event) => setBlocked(state, event, false),

  faultsRequested: (state, { requestId, faults, at }) => {
    Object.assign(state.faults, faults);
    const { cut, cutMode } = state.faults;
    const resetIds = cut && cutMode === 'reset' ? [...state.connections.keys()] : [];
    resetIds.forEach((id) => state.connections.delete(id));
    return [
      ...resetIds.flatMap(resetBothSides),
      ...updateAllConnections(state, at),
      { type: 'answer', requestId, status: 200, body: { ...state.faults } },
    ];
  },

  tick: (state, { at }) => updateAllConnections(state, at),
};
