import { callApi } from './callApi.js';
import type { Cluster } from './Cluster.js';

/** Fields of the status of a zone that the demo and the tests read. */
interface SchedulerStatus {
  vmId: string;
  lead: boolean;
  heldWorkers: number;
  settingsVersion: number;
}

/** Finds the status of the lead of a zone through a gateway; undefined while there is no lead. */
export const findLead = async (
  cluster: Cluster,
  zone: string,
  httpPort: number,
): Promise<SchedulerStatus | undefined> => {
  const { status, data } = await callApi(httpPort, 'GET', '/v1/status', {
    token: cluster.rootToken,
  });
  if (status !== 200) return undefined;
  const scheduler = (data as { zones: Record<string, SchedulerStatus> }).zones[zone];
  return scheduler?.lead ? scheduler : undefined;
};
