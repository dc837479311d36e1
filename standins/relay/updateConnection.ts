import { isCutOff } from './isCutOff.js';
import { listSides } from './listSides.js';
import type { RelayConnection } from './RelayConnection.js';
import type { RelayEffect } from './RelayEffect.js';
import type { RelayDelivery } from './RelayDelivery.js';
import type { RelaySide } from './RelaySide.js';
import type { RelayState } from './RelayState.js';

type DeliveryHandler = (
  connectionId: string,
  side: RelaySide,
  delivery: RelayDelivery,
) => RelayEffect;

const deliveryHandlers: Record<RelayDelivery['kind'], DeliveryHandler> = {
  data: (connectionId, side, delivery) => ({
    type: 'writeData',
    connectionId,
    side,
    data: delivery.kind === 'data' ? delivery.data : Buffer.alloc(0),
  }),
  end: (connectionId, side) => ({ type: 'endSide', connectionId, side }),
  reset: (connectionId, side) => ({ type: 'resetSide', connectionId, side }),
};

/** Makes the due deliveries of a connection and reads from the sides whose data can be forwarded. */
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
    const sideState = connection.sides[side];
    const isSideCut = isCutOff(state.faults, side);
    while (!isSideCut && sideState.queue[0] && sideState.queue[0].dueAt <= at) {
      const delivery = sideState.queue.shift();
      if (delivery) effects.push(deliveryHandlers[delivery.kind](connectionId, other, delivery));
    }
    const reading = !isSideCut && !connection.sides[other].blocked;
    if (reading !== sideState.reading) {
      sideState.reading = reading;
      effects.push({ type: 'setReading', connectionId, side, reading });
    }
  });
  return effects;
};
