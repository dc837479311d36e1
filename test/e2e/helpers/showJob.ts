import { callApi } from '../../../tools/cluster/callApi.js';
import type { Cluster } from '../../../tools/cluster/Cluster.js';
import type { JobView } from './JobView.js';

/** Fetches a job of workspace `labels`; undefined if the gateway returns an error. */
export const showJob = async (
  cluster: Cluster,
  port: number,
  jobId: string,
): Promise<JobView | undefined> => {
  const path = `/v1/workspaces/labels/jobs/${jobId}`;
  const { status, data } = await callApi(port, 'GET', path, { token: cluster.rootToken });
  return status === 200 ? (data as JobView) : undefined;
};
