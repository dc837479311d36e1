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

const updateOne = (state: RelayState, { connectionId, at }: ConnectionEvent): RelayEffect[] => {
  const connection = state.connections.get(connectionId);
  return connection ? updateConnection(state, connectionId, connection, at) : [];
};

const updateAll = (state: RelayState, at: number): RelayEffect[] =>
  [...state.connections].flatMap(([id, connection]) => updateConnection(state, id, connection, at));

const enqueueItem = (
  state: RelayState,
  event: ConnectionEvent & { side: RelaySide },
  item: Pick<RelayDelivery, 'kind'> & { data?: Buffer },
): RelayEffect[] => {
  const dueAt = event.at + state.faults.delayMs;
  const sideState = state.connections.get(event.connectionId)?.sides[event.side];
  sideState?.queue.push({ ...item, dueAt } as RelayDelivery);
  return updateOne(state, event);
};

const setBlocked = (
  state: RelayState,
  event: ConnectionEvent & { side: RelaySide },
  blocked: boolean,
): RelayEffect[] => {
  const sideState = state.connections.get(event.connectionId)?.sides[event.side];
  if (sideState) sideState.blocked = blocked;
  return updateOne(state, event);
};

/** Handlers of the relay. */
export const relayHandlers: StandInHandlers<RelayState, RelayEvent, RelayEffect> = {
  connectionOpened: (state, event) => {
    const { connectionId } = event;
    const { cut, cutMode } = state.faults;
    if (cut && cutMode === 'reset') return resetBothSides(connectionId);
    const sides = { client: createSideState(), target: createSideState() };
    state.connections.set(connectionId, { targetOpened: false, sides });
    return updateOne(state, event);
  },

  dataRead: (state, event) => enqueueItem(state, event, { kind: 'data', data: event.data }),

  sideEnded: (state, event) => enqueueItem(state, event, { kind: 'end' }),

  sideClosed: (state, event) => {
    const connection = state.connections.get(event.connectionId);
    if (!connection) return [];
    connection.sides[event.side].closed = true;
    if (connection.sides.client.closed && connection.sides.target.closed) {
      state.connections.delete(event.connectionId);
      return [];
    }
    // A failure travels like data, so that a frozen cut hides it too.
    return event.failed ? enqueueItem(state, event, { kind: 'reset' }) : [];
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
      ...updateAll(state, at),
      { type: 'answer', requestId, status: 200, body: { ...state.faults } },
    ];
  },

  tick: (state, { at }) => updateAll(state, at),
};
