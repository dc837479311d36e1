import type { Simulation } from './Simulation.js';

/** Runs all actions that are due up to a simulation time. */
export const runUntil = (simulation: Simulation, endsAt: number): void => {
  while (simulation.scheduledActions[0] && simulation.scheduledActions[0].dueAt <= endsAt) {
    const item = simulation.scheduledActions.shift()!;
    simulation.now = Math.max(simulation.now, item.dueAt);
    item.run();
  }
  simulation.now = endsAt;
};
