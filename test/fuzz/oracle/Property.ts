import type { Simulation } from '../simulation/Simulation.js';

/** Checks what happened so far; returns a description of the violation, or null. */
export type Property = (simulation: Simulation) => string | null;
