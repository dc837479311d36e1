import { performance } from 'node:perf_hooks';
import type { LoopClock } from './LoopClock.js';

const tickIntervalMs = 100;
// A tick that is no later than this is not a sign of a busy loop.
const maxTickMs = 150;

/** Creates a clock that stands still while the event loop is busy; it does not keep the process alive. */
export const createLoopClock = (): LoopClock => {
  const listeners: (() => void)[] = [];
  let responsiveMs = 0;
  let lastTickAt = performance.now();
  const read = (): number => responsiveMs + Math.min(performance.now() - lastTickAt, maxTickMs);
  setInterval(() => {
    responsiveMs = read();
    lastTickAt = performance.now();
    listeners.forEach((listener) => listener());
  }, tickIntervalMs).unref();
  return {
    read,
    onTick: (listener) => {
      listeners.push(listener);
    },
  };
};
