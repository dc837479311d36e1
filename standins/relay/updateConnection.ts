import { isCutOff } from './isCutOff.js';
import { listSides } from './listSides.js';
import type { RelayConnection } from './RelayConnection.js';
import type { RelayEffect } from './RelayEffect.js';
import type { RelayItem } from './RelayItem.js';
import type { RelaySide } from './RelaySide.js';
import type { RelayState } from './RelayState.js';

type Deliver = (connectionId: string, side: RelaySide, item: RelayItem) => RelayEffect;

const deliveries: Record<RelayItem['kind'], Deliver> = {
  data: (connectionId, side, item) => ({
    type: 'writeData',
    connectionId,
    side,
    data: item.kind === 'data' ? item.data : Buffer.alloc(0),
  }),
  end: (connectionId, side) => ({ type: 'endSide', connectionId, side }),
  reset: (connectionId, side) => ({ type: 'resetSide', connectionId, side }),
};

/** Delivers what is due on a connection and reads from the sides whose data can pass. */
export const updateConnection = (
  state: RelayState,
  connectionId: string,
  connection: RelayConnection,
  at: number,
): RelayEffect[] => {
  const effects: RelayEffect[] = [];
  if (!isCutOff(state.faults, 'client') && !connection.targetOpened) {
    connection.targetOpened = true;
    effects.push({ type: 'openTarget', connectionId });
  }
  listSides().forEach(({ side, other }) => {
    const half = connection.halves[side];
    const cut = isCutOff(state.faults, side);
    while (!cut && half.queue[0] && half.queue[0].dueAt <= at) {
      const item = half.queue.shift();
      if (item) effects.push(deliveries[item.kind](connectionId, other, item));
    }
    const reading = !cut && !connection.halves[other].blocked;
    if (reading !== half.reading) {
      half.reading = reading;
      effects.push({ type: 'setReading', connectionId, side, reading });
    }
  });
  return effects;
};
