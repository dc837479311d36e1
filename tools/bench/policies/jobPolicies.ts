import type { JobPolicy } from '../jobs/JobPolicy.js';
import type { JobScenario } from '../jobs/JobScenario.js';
import { createFifoJobPolicy } from './createFifoJobPolicy.js';
import { createReducerJobPolicy } from './createReducerJobPolicy.js';

const withTrueTimes = ({ jobs, guarantees }: JobScenario): JobScenario => ({
  guarantees,
  jobs: jobs.map((job) => ({ ...job, spec: { ...job.spec, declaredMs: job.runMs } })),
});

/** Job policies by name; `adapt` changes the scenario for the policy. */
export const jobPolicies: Record<
  string,
  { create: (scenario: JobScenario) => JobPolicy; adapt: (scenario: JobScenario) => JobScenario }
> = {
  ours: { create: createReducerJobPolicy, adapt: (scenario) => scenario },
  'ours-true-times': { create: createReducerJobPolicy, adapt: withTrueTimes },
  'fifo-first-fit': { create: createFifoJobPolicy, adapt: (scenario) => scenario },
};
