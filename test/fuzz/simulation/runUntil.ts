import type { Simulation } from './Simulation.js';

/** Applies everything that is due up to a true time. */
export const runUntil = (simulation: Simulation, until: number): void => {
  while (simulation.scheduledActions[0] && simulation.scheduledActions[0].dueAt <= until) {
    const item = simulation.scheduledActions.shift()!;
    simulation.now = Math.max(simulation.now, item.dueAt);
    item.run();
  }
  simulation.now = until;
};
