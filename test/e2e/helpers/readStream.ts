import { callApi } from '../../../tools/cluster/callApi.js';
import type { Cluster } from '../../../tools/cluster/Cluster.js';

const maxRecords = 10_000;

/** Reads the first records of a stream directly from the log. */
export const readStream = async <T>(cluster: Cluster, stream: string): Promise<T[]> => {
  const path = `/streams/${stream}/records?from=0&limit=${maxRecords}`;
  const { data } = await callApi(cluster.logPort, 'GET', path);
  return (data as { records: { data: T }[] }).records.map((record) => record.data);
};
