import type { RunnersOf } from './RunnersOf.js';

/** The one loop of a daemon: events in, effects out. */
export interface EventLoop<TEvent, TEffect extends { type: string }> {
  /** Queues an event; it is reduced before this returns, unless another one is being reduced. */
  push: (event: TEvent) => void;
  /** Adds the functions that execute effects. */
  attach: (runners: RunnersOf<TEffect>) => void;
}
