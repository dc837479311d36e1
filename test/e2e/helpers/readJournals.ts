import { callApi } from '../../../tools/cluster/callApi.js';
import type { Cluster } from '../../../tools/cluster/Cluster.js';
import type { JournalEntry } from './JournalEntry.js';

/** Reads the journals of all workers directly from the workers, sorted by time. */
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
