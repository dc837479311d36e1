import { callApi } from '../../../tools/cluster/callApi.js';
import type { Cluster } from '../../../tools/cluster/Cluster.js';
import { waitForJob } from './waitForJob.js';

// Stopping a task takes two calls to its worker, each of at most `workerCallTimeoutMs` (1.5 s).
const cancelLimitMs = 3000;

/** Cancels a job of workspace `labels` and waits until it is cancelled. */
export const cancelGang = async (cluster: Cluster, port: number, jobId: string): Promise<void> => {
  const path = `/v1/workspaces/labels/jobs/${jobId}`;
  await callApi(port, 'DELETE', path, { token: cluster.rootToken });
  await waitForJob(cluster, port, jobId, 'cancelled', cancelLimitMs);
};
