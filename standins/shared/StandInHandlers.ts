import type { Timed } from './Timed.js';

/** Handlers of a stand-in's events, by event type. */
export type StandInHandlers<S, E extends { type: string }, F> = {
  readonly [T in E['type']]: (state: S, event: Timed<Extract<E, { type: T }>>) => F[];
};
