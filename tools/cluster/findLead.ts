import { callApi } from './callApi.js';
import type { Cluster } from './Cluster.js';

interface SchedulerStatus {
  vmId: string;
  lead: boolean;
  heldWorkers: number;
  settingsVersion: number;
}

/** Finds the VM that leads a zone, as told by one gateway; undefined while there is none. */
export const findLead = async (
  cluster: Cluster,
  zone: string,
  httpPort: number,
): Promise<SchedulerStatus | undefined> => {
  const { status, data } = await callApi(httpPort, 'GET', '/v1/status', {
    token: cluster.rootToken,
  });
  if (status !== 200) return undefined;
  const found = (data as { zones: Record<string, SchedulerStatus> }).zones[zone];
  return found?.lead ? found : undefined;
};
