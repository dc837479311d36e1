import type { GuaranteeShape } from '../../../src/core/settings/GuaranteeShape.js';
import type { GeneratedJob } from './GeneratedJob.js';

/** Jobs of one run, in order of submission, and the guarantees of the workspaces. */
export interface JobScenario {
  jobs: GeneratedJob[];
  guarantees: Record<string, GuaranteeShape[]>;
}
