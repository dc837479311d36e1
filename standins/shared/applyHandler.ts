import type { StandInHandlers } from './StandInHandlers.js';
import type { Timed } from './Timed.js';

/** Calls the handler of the event's type. */
export const applyHandler = <S, E extends { type: string }, F>(
  table: StandInHandlers<S, E, F>,
  state: S,
  event: Timed<E>,
): F[] => {
  // Each handler takes events of its own type, but TypeScript cannot infer that for a lookup by type.
  const handler = table[event.type as E['type']] as unknown as (s: S, e: Timed<E>) => F[];
  return handler(state, event);
};
