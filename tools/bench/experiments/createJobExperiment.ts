import type { Experiment } from '../Experiment.js';
import { runJobs } from '../jobs/runJobs.js';
import { jobPolicies } from '../policies/jobPolicies.js';
import type { JobExperiment } from './JobExperiment.js';

/** Wraps a job scenario as an experiment over all job policies; it has no bound to compare with. */
export const createJobExperiment = (buildScenario: JobExperiment): Experiment => ({
  policies: Object.keys(jobPolicies),
  comparedMeasures: {},
  run: (policy, seed, scale) => {
    const { create, adapt } = jobPolicies[policy]!;
    const scenario = adapt(buildScenario(seed, scale));
    return runJobs(scenario, create(scenario));
  },
});
