import { applyHandler } from '../shared/applyHandler.js';
import type { Timed } from '../shared/Timed.js';
import type { RelayEffect } from './RelayEffect.js';
import type { RelayEvent } from './RelayEvent.js';
import { isCutOff } from './isCutOff.js';
import { listSides } from './listSides.js';
import { relayHandlers } from './relayHandlers.js';
import type { RelayState } from './RelayState.js';

const findNextDueAt = (state: RelayState): number | null => {
  let nextDueAt = Infinity;
  state.connections.forEach(({ sides }) => {
    // Deliveries from a side that is cut off stay queued even if they are due.
    listSides()
      .filter(({ side }) => !isCutOff(state.faults, side))
      .forEach(({ side }) => {
        nextDueAt = Math.min(nextDueAt, sides[side].queue[0]?.dueAt ?? nextDueAt);
      });
  });
  return nextDueAt === Infinity ? null : nextDueAt;
};

/** Handles one event of the relay. */
export const reduceRelay = (state: RelayState, event: Timed<RelayEvent>): RelayEffect[] => [
  ...applyHandler<RelayState, RelayEvent, RelayEffect>(relayHandlers, state, event),
  { type: 'wake', at: findNextDueAt(state) },
];
