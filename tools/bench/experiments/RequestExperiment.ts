import type { RequestScenario } from '../requests/RequestScenario.js';

/** Builds the scenario of one seed; `scale` shortens the run, 1 is the full length. */
export type RequestExperiment = (seed: number, scale: number) => RequestScenario;
