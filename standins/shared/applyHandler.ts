import type { StandInHandlers } from './StandInHandlers.js';
import type { Timed } from './Timed.js';

/** Runs the handler of the event's type. */
export const applyHandler = <S, E extends { type: string }, F>(
  table: StandInHandlers<S, E, F>,
  state: S,
  event: Timed<E>,
): F[] => {
  // The table's type ties each handler to its event type; the look-up erases that tie.
  const handler = table[event.type as E['type']] as unknown as (s: S, e: Timed<E>) => F[];
  return handler(state, event);
};
