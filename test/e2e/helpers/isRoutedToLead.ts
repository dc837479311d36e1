import { callApi } from '../../../tools/cluster/callApi.js';
import type { Cluster } from '../../../tools/cluster/Cluster.js';

const unavailableStatus = 503;

/**
 * Whether a gateway passes the jobs of a zone to its lead. A status is answered by any scheduler,
 * so the lead's own status can arrive before the heartbeat by which the gateway knows the lead.
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
