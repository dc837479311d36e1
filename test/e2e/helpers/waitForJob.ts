import type { Cluster } from '../../../tools/cluster/Cluster.js';
import { waitUntil } from '../../../tools/cluster/waitUntil.js';
import { showJob } from './showJob.js';
import type { JobView } from './JobView.js';

/** Waits until a job is in the given state; returns the job. */
export const waitForJob = (
  cluster: Cluster,
  port: number,
  jobId: string,
  state: string,
  limitMs: number,
): Promise<JobView> =>
  waitUntil(`job ${jobId} is ${state}`, limitMs, async () => {
    const job = await showJob(cluster, port, jobId);
    return job?.state === state ? job : undefined;
  });
