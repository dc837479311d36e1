import type { EffectRunners } from './EffectRunners.js';
import type { Push } from './Push.js';
import { readClock } from './readClock.js';
import type { TickEvent } from './TickEvent.js';
import type { TimerEffect } from './TimerEffect.js';

/** Creates the runner of `wake` effects: one timer that pushes a `tick`. */
export const createWakeTimer = (push: Push<TickEvent>): EffectRunners<TimerEffect> => {
  let timer: NodeJS.Timeout | undefined;
  return {
    wake: ({ at }) => {
      clearTimeout(timer);
      if (at === null) return;
      // Node fires timers longer than 2^31 - 1 ms at once.
      const delayMs = Math.min(Math.max(Math.ceil(at - readClock().at), 0), 2 ** 31 - 1);
      timer = setTimeout(() => push({ type: 'tick' }), delayMs);
    },
  };
};
