import type { World } from './World.js';

/** Puts something into the bag; equal times keep the order of the calls. O(log bag). */
export const schedule = (world: World, dueAt: number, run: () => void): void => {
  const { bag } = world;
  let low = 0;
  let high = bag.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if (bag[middle]!.dueAt <= dueAt) low = middle + 1;
    else high = middle;
  }
  bag.splice(low, 0, { dueAt, sequence: world.nextSequence, run });
  world.nextSequence += 1;
};
