import { callApi } from './callApi.js';
import type { Office } from './Office.js';

interface SchedulerStatus {
  vmId: string;
  lead: boolean;
  heldWorkers: number;
  settingsVersion: number;
}

/** Finds the VM that leads a zone, as told by one gateway; undefined while there is none. */
export const findLead = async (
  office: Office,
  zone: string,
  httpPort: number,
): Promise<SchedulerStatus | undefined> => {
  const { status, data } = await callApi(httpPort, 'GET', '/v1/status', {
    token: office.rootToken,
  });
  if (status !== 200) return undefined;
  const found = (data as { zones: Record<string, SchedulerStatus> }).zones[zone];
  return found?.lead ? found : undefined;
};
