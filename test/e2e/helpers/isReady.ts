import { callApi } from '../../../tools/cluster/callApi.js';
import type { ClusterVm } from '../../../tools/cluster/ClusterVm.js';

/** Whether the gateway of a VM reports to the load balancer that it is ready. */
export const isReady = async ({ httpPort }: ClusterVm): Promise<boolean> =>
  (await callApi(httpPort, 'GET', '/readyz')).status === 200;
