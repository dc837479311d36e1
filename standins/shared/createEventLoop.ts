import type { EffectRunners } from './EffectRunners.js';
import type { Push } from './Push.js';
import { readClock } from './readClock.js';
import type { Timed } from './Timed.js';

/** Creates the event loop of a stand-in; returns the function that pushes events to it. */
export const createEventLoop = <S, E extends { type: string }, F extends { type: string }>(
  state: S,
  reduce: (state: S, event: Timed<E>) => F[],
  createRunners: (push: Push<E>) => EffectRunners<F>,
): Push<E> => {
  const queue: E[] = [];
  let draining = false;
  let runners: EffectRunners<F> | null = null;
  const runEffect = (effect: F) => {
    // Each runner takes effects of its own type, but TypeScript cannot infer that for a lookup by type.
    const run = runners?.[effect.type as F['type']] as unknown as (e: F) => void;
    run(effect);
  };
  const push: Push<E> = (event) => {
    queue.push(event);
    // An effect may push an event; it is processed after the current one.
    if (draining) return;
    draining = true;
    try {
      for (let next = queue.shift(); next; next = queue.shift()) {
        reduce(state, { ...next, ...readClock() }).forEach(runEffect);
      }
    } finally {
      draining = false;
    }
  };
  runners = createRunners(push);
  return push;
};
