import type { Simulation } from './Simulation.js';

/** Chooses a whole number of milliseconds between two bounds. */
export const chooseDelay = (simulation: Simulation, leastMs: number, mostMs: number): number =>
  leastMs + Math.floor(simulation.random() * (mostMs - leastMs + 1));
