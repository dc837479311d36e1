import { traceStep } from './traceStep.js';
import type { Simulation } from './Simulation.js';

/** Notes that two schedulers hold the same worker, or lead the same zone. */
export const recordOverlap = (
  simulation: Simulation,
  what: 'worker' | 'lead',
  id: string,
  holders: string[],
): void => {
  simulation.history.overlaps.push({ at: simulation.now, kind: what, id, holders });
  traceStep(simulation, 'oracle', `two holders of ${what} ${id}: ${holders.join(', ')}`);
};
