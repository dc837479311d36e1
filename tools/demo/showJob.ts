import { callApi } from '../cluster/callApi.js';
import type { DemoContext } from './DemoContext.js';

/** Fields of a job that the demo reads. */
interface JobView {
  id: string;
  state: string;
  attempt: number;
  parts: { workerId: string; taskId: string; state: string; borrowed: boolean }[];
}

/** Fetches a job through a gateway; undefined if the gateway returns an error. */
export const showJob = async (
  { cluster, httpPort, jobs }: DemoContext,
  workspace: string,
  name: string,
): Promise<JobView | undefined> => {
  const path = `/v1/workspaces/${workspace}/jobs/${jobs[name]}`;
  const { status, data } = await callApi(httpPort, 'GET', path, { token: cluster.rootToken });
  return status === 200 ? (data as JobView) : undefined;
};
