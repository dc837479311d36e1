import type { StandInHandlers } from '../shared/StandInHandlers.js';
import { listSides } from './listSides.js';
import type { RelayEffect } from './RelayEffect.js';
import type { RelayEvent } from './RelayEvent.js';
import type { RelayHalf } from './RelayHalf.js';
import type { RelayItem } from './RelayItem.js';
import type { RelaySide } from './RelaySide.js';
import type { RelayState } from './RelayState.js';
import { updateConnection } from './updateConnection.js';

interface ConnectionChange {
  connectionId: string;
  at: number;
}

const createHalf = (): RelayHalf => ({ queue: [], reading: false, blocked: false, closed: false });

const resetBoth = (connectionId: string): RelayEffect[] =>
  listSides().map(({ side }) => ({ type: 'resetSide', connectionId, side }));

const updateOne = (state: RelayState, { connectionId, at }: ConnectionChange): RelayEffect[] => {
  const connection = state.connections.get(connectionId);
  return connection ? updateConnection(state, connectionId, connection, at) : [];
};

const updateAll = (state: RelayState, at: number): RelayEffect[] =>
  [...state.connections].flatMap(([id, connection]) => updateConnection(state, id, connection, at));

const queueItem = (
  state: RelayState,
  event: ConnectionChange & { side: RelaySide },
  item: Pick<RelayItem, 'kind'> & { data?: Buffer },
): RelayEffect[] => {
  const dueAt = event.at + state.faults.delayMs;
  const half = state.connections.get(event.connectionId)?.halves[event.side];
  half?.queue.push({ ...item, dueAt } as RelayItem);
  return updateOne(state, event);
};

const setBlocked = (
  state: RelayState,
  event: ConnectionChange & { side: RelaySide },
  blocked: boolean,
): RelayEffect[] => {
  const half = state.connections.get(event.connectionId)?.halves[event.side];
  if (half) half.blocked = blocked;
  return updateOne(state, event);
};

/** Handlers of the relay. */
export const relayHandlers: StandInHandlers<RelayState, RelayEvent, RelayEffect> = {
  connectionOpened: (state, event) => {
    const { connectionId } = event;
    const { cut, cutMode } = state.faults;
    if (cut && cutMode === 'reset') return resetBoth(connectionId);
    const halves = { client: createHalf(), target: createHalf() };
    state.connections.set(connectionId, { targetOpened: false, halves });
    return updateOne(state, event);
  },

  dataRead: (state, event) => queueItem(state, event, { kind: 'data', data: event.data }),

  sideEnded: (state, event) => queueItem(state, event, { kind: 'end' }),

  sideClosed: (state, event) => {
    const connection = state.connections.get(event.connectionId);
    if (!connection) return [];
    connection.halves[event.side].closed = true;
    if (connection.halves.client.closed && connection.halves.target.closed) {
      state.connections.delete(event.connectionId);
      return [];
    }
    // A failure travels like data, so that a frozen cut hides it too.
    return event.failed ? queueItem(state, event, { kind: 'reset' }) : [];
  },

  writeBlocked: (state, event) => setBlocked(state, event, true),

  writeDrained: (state, event) => setBlocked(state, event, false),

  faultsRequested: (state, { requestId, faults, at }) => {
    Object.assign(state.faults, faults);
    const { cut, cutMode } = state.faults;
    const cutIds = cut && cutMode === 'reset' ? [...state.connections.keys()] : [];
    cutIds.forEach((id) => state.connections.delete(id));
    return [
      ...cutIds.flatMap(resetBoth),
      ...updateAll(state, at),
      { type: 'answer', requestId, status: 200, body: { ...state.faults } },
    ];
  },

  tick: (state, { at }) => updateAll(state, at),
};
