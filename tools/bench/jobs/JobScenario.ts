import type { GuaranteeShape } from '../../../src/core/settings/GuaranteeShape.js';
import type { JobPlan } from './JobPlan.js';

/** Jobs of one run, in order of submission, and the guarantees of the workspaces. */
export interface JobScenario {
  jobs: JobPlan[];
  guarantees: Record<string, GuaranteeShape[]>;
}
