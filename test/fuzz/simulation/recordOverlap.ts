import { traceStep } from './traceStep.js';
import type { Simulation } from './Simulation.js';

/** Records that two schedulers hold the same worker or lead the same zone. */
export const recordOverlap = (
  simulation: Simulation,
  kind: 'worker' | 'lead',
  id: string,
  holders: string[],
): void => {
  simulation.history.overlaps.push({ at: simulation.now, kind, id, holders });
  traceStep(simulation, 'oracle', `two holders of ${kind} ${id}: ${holders.join(', ')}`);
};
