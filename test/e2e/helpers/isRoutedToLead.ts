import { callApi } from '../../../tools/cluster/callApi.js';
import type { Cluster } from '../../../tools/cluster/Cluster.js';

const unavailableStatus = 503;

/**
 * Whether a gateway forwards the jobs of a zone to its lead. Any scheduler can answer a status
 * request, so `findLead` can return a lead whose heartbeat the gateway has not received yet.
 */
export const isRoutedToLead = async (
  cluster: Cluster,
  zone: string,
  port: number,
): Promise<boolean> => {
  const path = `/v1/workspaces/labels/jobs/${zone}.unknown`;
  const { status } = await callApi(port, 'GET', path, { token: cluster.rootToken });
  return status !== unavailableStatus;
};
