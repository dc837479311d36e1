import type { JobScenario } from '../jobs/JobScenario.js';

/** Builds the scenario of one seed; `scale` shortens the run, 1 is the full length. */
export type JobExperiment = (seed: number, scale: number) => JobScenario;
