import { callApi } from '../../../tools/cluster/callApi.js';
import type { Cluster } from '../../../tools/cluster/Cluster.js';
import type { JournalEntry } from './JournalEntry.js';

/** Reads what the workers ran, directly from the workers. */
export const readJournals = async (cluster: Cluster): Promise<JournalEntry[]> => {
  const journals = await Promise.all(
    cluster.workers.map(async ({ id, port }) => {
      const { data } = await callApi(port, 'GET', '/debug/journal');
      const { lines } = data as { lines: JournalEntry[] };
      return lines.map((line) => ({ ...line, workerId: id }));
    }),
  );
  return journals.flat().sort((a, b) => a.wall - b.wall);
};
