import type { Simulation } from './Simulation.js';

/** Adds a line to the trace, if tracing is on. */
export const traceStep = (simulation: Simulation, source: string, detail: unknown): void => {
  if (!simulation.tracing) return;
  const text = typeof detail === 'string' ? detail : JSON.stringify(detail);
  simulation.history.trace.push(
    `${simulation.now.toFixed(0).padStart(8)} ${source}: ${text.slice(0, 300)}`,
  );
};
