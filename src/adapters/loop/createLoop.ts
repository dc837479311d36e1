import { performance } from 'node:perf_hooks';
import type { Effect } from '../../core/Effect.js';
import { reduce } from '../../core/reduce.js';
import type { State } from '../../core/State.js';
import type { UntimedEvent } from '../../core/UntimedEvent.js';
import type { EffectRunners } from '../EffectRunners.js';
import type { Loop } from './Loop.js';

type AnyRunner = (effect: Effect) => void;

/**
 * Creates the loop of a daemon. An event gets its time when it is taken from the queue, so that a
 * process that was paused sees how much time has passed before it acts on what was queued.
 */
export const createLoop = (state: State): Loop => {
  const queue: UntimedEvent[] = [];
  const runners = new Map<Effect['type'], AnyRunner>();
  let running = false;
  const runEffect = (effect: Effect): void => runners.get(effect.type)?.(effect);
  const drain = (): void => {
    running = true;
    try {
      for (let event = queue.shift(); event; event = queue.shift()) {
        const timed = { ...event, at: performance.now(), wall: Date.now() };
        reduce(state, timed).forEach(runEffect);
      }
    } finally {
      running = false;
    }
  };
  return {
    push: (event) => {
      queue.push(event);
      if (!running) drain();
    },
    attach: (added: EffectRunners) => {
      Object.entries(added).forEach(([type, runner]) =>
        runners.set(type as Effect['type'], runner as AnyRunner),
      );
    },
  };
};
