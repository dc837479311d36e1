import { computeJobState } from '../../../src/control/callers/computeJobState.js';
import type { JobState } from '../../../src/control/jobs/JobState.js';
import type { FakePlatform } from './FakePlatform.js';

/** Gets the state of a job as one VM reports it. */
export const getJobState = (platform: FakePlatform, id: string, vm = 0): JobState | 'unknown' => {
  const job = platform.vms[vm]!.state.jobs.get(id.padStart(16, '0'));
  return job?.submission ? computeJobState(job) : 'unknown';
};
