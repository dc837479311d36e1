import type { World } from './World.js';

/** Chooses a whole number of milliseconds between two bounds. */
export const chooseDelay = (world: World, leastMs: number, mostMs: number): number =>
  leastMs + Math.floor(world.random() * (mostMs - leastMs + 1));
