import type { Simulation } from './Simulation.js';

/** Schedules an action; actions of equal time keep the order of the calls. O(log actions). */
export const schedule = (simulation: Simulation, dueAt: number, run: () => void): void => {
  const { scheduledActions } = simulation;
  let low = 0;
  let high = scheduledActions.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if (scheduledActions[middle]!.dueAt <= dueAt) low = middle + 1;
    else high = middle;
  }
  scheduledActions.splice(low, 0, { dueAt, sequence: simulation.nextSequence, run });
  simulation.nextSequence += 1;
};
