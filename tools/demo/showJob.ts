import { callApi } from '../cluster/callApi.js';
import type { DemoContext } from './DemoContext.js';

/** What the demo reads of a job. */
interface ShownJob {
  id: string;
  state: string;
  attempt: number;
  parts: { workerId: string; taskId: string; state: string; borrowed: boolean }[];
}

/** Reads a job through a gateway; undefined while no scheduler answers. */
export const showJob = async (
  { cluster, httpPort, jobs }: DemoContext,
  workspace: string,
  name: string,
): Promise<ShownJob | undefined> => {
  const path = `/v1/workspaces/${workspace}/jobs/${jobs[name]}`;
  const { status, data } = await callApi(httpPort, 'GET', path, { token: cluster.rootToken });
  return status === 200 ? (data as ShownJob) : undefined;
};
