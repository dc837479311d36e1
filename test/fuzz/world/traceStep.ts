import type { World } from './World.js';

/** Adds a line to the trace, if one is wanted. */
export const traceStep = (world: World, who: string, what: unknown): void => {
  if (!world.tracing) return;
  const text = typeof what === 'string' ? what : JSON.stringify(what);
  world.history.trace.push(`${world.now.toFixed(0).padStart(8)} ${who}: ${text.slice(0, 300)}`);
};
