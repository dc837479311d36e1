import { callApi } from '../../../tools/office/callApi.js';
import type { OfficeVm } from '../../../tools/office/OfficeVm.js';

/** Whether the gateway of a VM tells the balancer that it is ready. */
export const isReady = async ({ httpPort }: OfficeVm): Promise<boolean> =>
  (await callApi(httpPort, 'GET', '/readyz')).status === 200;
