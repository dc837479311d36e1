import type { Simulation } from './Simulation.js';

/** Chooses a random whole number of milliseconds between two bounds, both included. */
export const chooseDelay = (simulation: Simulation, minMs: number, maxMs: number): number =>
  minMs + Math.floor(simulation.random() * (maxMs - minMs + 1));
