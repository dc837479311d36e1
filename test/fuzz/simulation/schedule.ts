import type { Simulation } from './Simulation.js';

/** Puts something into the bag; equal times keep the order of the calls. O(log bag). */
export const schedule = (simulation: Simulation, dueAt: number, run: () => void): void => {
  const { scheduledActions: bag } = simulation;
  let low = 0;
  let high = bag.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if (bag[middle]!.dueAt <= dueAt) low = middle + 1;
    else high = middle;
  }
  bag.splice(low, 0, { dueAt, sequence: simulation.nextSequence, run });
  simulation.nextSequence += 1;
};
