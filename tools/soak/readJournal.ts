import { callApi } from '../cluster/callApi.js';
import type { JournalRun } from './JournalRun.js';
import type { SoakWorker } from './SoakWorker.js';

/** Reads the runs of a worker's current incarnation. */
export const readJournal = async ({ id, port }: SoakWorker): Promise<JournalRun[]> => {
  const { data } = await callApi(port, 'GET', '/journal', { headers: { connection: 'close' } });
  return (data as { runs: JournalRun[] }).runs.map((run) => ({ ...run, workerId: id }));
};
