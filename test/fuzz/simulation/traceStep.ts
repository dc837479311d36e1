import type { Simulation } from './Simulation.js';

/** Adds a line to the trace, if one is wanted. */
export const traceStep = (simulation: Simulation, who: string, what: unknown): void => {
  if (!simulation.tracing) return;
  const text = typeof what === 'string' ? what : JSON.stringify(what);
  simulation.history.trace.push(
    `${simulation.now.toFixed(0).padStart(8)} ${who}: ${text.slice(0, 300)}`,
  );
};
