import { applyHandler } from '../shared/applyHandler.js';
import type { Timed } from '../shared/Timed.js';
import type { RelayEffect } from './RelayEffect.js';
import type { RelayEvent } from './RelayEvent.js';
import { relayHandlers } from './relayHandlers.js';
import type { RelayState } from './RelayState.js';

const findNextDue = (state: RelayState): number | null => {
  // Nothing is delivered during a cut, whatever is due.
  if (state.faults.cut) return null;
  let due = Infinity;
  state.connections.forEach(({ halves }) => {
    const { client, target } = halves;
    due = Math.min(due, client.queue[0]?.dueAt ?? due, target.queue[0]?.dueAt ?? due);
  });
  return due === Infinity ? null : due;
};

/** Decides on one event of the relay. */
export const reduceRelay = (state: RelayState, event: Timed<RelayEvent>): RelayEffect[] => [
  ...applyHandler<RelayState, RelayEvent, RelayEffect>(relayHandlers, state, event),
  { type: 'wake', at: findNextDue(state) },
];
