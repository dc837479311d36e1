import type { RunnersOf } from './RunnersOf.js';

/** Event loop of a daemon: reduces events and runs the resulting effects. */
export interface EventLoop<TEvent, TEffect extends { type: string }> {
  /** Queues an event; it is reduced before this returns, unless another one is being reduced. */
  push: (event: TEvent) => void;
  /** Adds the functions that execute effects. */
  attach: (runners: RunnersOf<TEffect>) => void;
}
