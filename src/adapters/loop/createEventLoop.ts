import { performance } from 'node:perf_hooks';
import type { EventLoop } from './EventLoop.js';

/**
 * Creates the event loop of a daemon around its reducer. An event gets its timestamp when it is
 * taken from the queue, so that after a pause of the process, queued events are handled with the
 * current time.
 */
export const createEventLoop = <TEvent extends object, TEffect extends { type: string }>(
  reduce: (event: TEvent & { at: number; wall: number }) => TEffect[],
): EventLoop<TEvent, TEffect> => {
  const queue: TEvent[] = [];
  const runners = new Map<string, (effect: TEffect) => void>();
  let isDraining = false;
  const runEffect = (effect: TEffect): void => runners.get(effect.type)?.(effect);
  const drain = (): void => {
    isDraining = true;
    try {
      for (let event = queue.shift(); event; event = queue.shift()) {
        reduce({ ...event, at: performance.now(), wall: Date.now() }).forEach(runEffect);
      }
    } finally {
      isDraining = false;
    }
  };
  return {
    push: (event) => {
      queue.push(event);
      if (!isDraining) drain();
    },
    attach: (added) => {
      Object.entries(added).forEach(([type, runner]) =>
        runners.set(type, runner as (effect: TEffect) => void),
      );
    },
  };
};
