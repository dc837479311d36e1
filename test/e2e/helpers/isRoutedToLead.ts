import { callApi } from '../../../tools/office/callApi.js';
import type { Office } from '../../../tools/office/Office.js';

const unavailableStatus = 503;

/**
 * Whether a gateway passes the jobs of a zone to its lead. A status is answered by any scheduler,
 * so the lead's own status can arrive before the heartbeat by which the gateway knows the lead.
 */
export const isRoutedToLead = async (
  office: Office,
  zone: string,
  port: number,
): Promise<boolean> => {
  const path = `/v1/workspaces/labels/jobs/${zone}.unknown`;
  const { status } = await callApi(port, 'GET', path, { token: office.rootToken });
  return status !== unavailableStatus;
};
