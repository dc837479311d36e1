import { performance } from 'node:perf_hooks';
import type { EventLoop } from './EventLoop.js';

interface EventTimes {
  at: number;
  wall: number;
  responsiveAt: number;
}

interface EventLoopOptions {
  /** Reads the time for which the process has been responsive; the monotonic time by default. */
  readResponsiveAt?: () => number;
  /** Takes what a reducer or an effect runner throws; without it, the error is thrown on. */
  onError?: (error: unknown, type: string) => void;
}

/**
 * Creates the event loop of a daemon around its reducer. An event gets its timestamps when it is
 * taken from the queue, so that after a pause of the process, queued events are handled with the
 * current time.
 */
export const createEventLoop = <TEvent extends { type: string }, TEffect extends { type: string }>(
  reduce: (event: TEvent & EventTimes) => TEffect[],
  { readResponsiveAt = () => performance.now(), onError }: EventLoopOptions = {},
): EventLoop<TEvent, TEffect> => {
  const queue: TEvent[] = [];
  const runners = new Map<string, (effect: TEffect) => void>();
  let isDraining = false;
  const guard = <T>(type: string, run: () => T): T | undefined => {
    try {
      return run();
    } catch (error) {
      if (!onError) throw error;
      onError(error, type);
      return undefined;
    }
  };
  const runEffect = (effect: TEffect): void => {
    guard(effect.type, () => runners.get(effect.type)?.(effect));
  };
  const readTimes = (): EventTimes => ({
    at: performance.now(),
    wall: Date.now(),
    responsiveAt: readResponsiveAt(),
  });
  const drain = (): void => {
    isDraining = true;
    try {
      for (let event = queue.shift(); event; event = queue.shift()) {
        const timedEvent = { ...event, ...readTimes() };
        guard(event.type, () => reduce(timedEvent))?.forEach(runEffect);
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
