import type { World } from './World.js';

/** Applies everything that is due up to a true time. */
export const runUntil = (world: World, until: number): void => {
  while (world.bag[0] && world.bag[0].dueAt <= until) {
    const item = world.bag.shift()!;
    world.now = Math.max(world.now, item.dueAt);
    item.run();
  }
  world.now = until;
};
