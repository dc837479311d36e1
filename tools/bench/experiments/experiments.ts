import type { Experiment } from '../Experiment.js';
import { createRequestExperiment } from './createRequestExperiment.js';
import { requestExperiments } from './requestExperiments.js';

/** All experiments by name. */
export const experiments: Record<string, Experiment> = Object.fromEntries(
  Object.entries(requestExperiments).map(([name, build]) => [name, createRequestExperiment(build)]),
);
