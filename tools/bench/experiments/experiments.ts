import type { Experiment } from '../Experiment.js';
import { createJobExperiment } from './createJobExperiment.js';
import { createRequestExperiment } from './createRequestExperiment.js';
import { jobExperiments } from './jobExperiments.js';
import { requestExperiments } from './requestExperiments.js';

/** All experiments by name. */
export const experiments: Record<string, Experiment> = Object.fromEntries([
  ...Object.entries(requestExperiments).map(
    ([name, build]) => [name, createRequestExperiment(build)] as const,
  ),
  ...Object.entries(jobExperiments).map(
    ([name, build]) => [name, createJobExperiment(build)] as const,
  ),
]);
