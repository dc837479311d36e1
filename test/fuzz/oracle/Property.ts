import type { Simulation } from '../simulation/Simulation.js';

/** Judges what was seen so far; returns what is wrong, or null. */
export type Property = (simulation: Simulation) => string | null;
