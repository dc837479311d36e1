import { callApi } from '../../../tools/office/callApi.js';
import type { Office } from '../../../tools/office/Office.js';
import type { JournalEntry } from './JournalEntry.js';

/** Reads what the workers ran, directly from the workers. */
export const readJournals = async (office: Office): Promise<JournalEntry[]> => {
  const journals = await Promise.all(
    office.workers.map(async ({ id, port }) => {
      const { data } = await callApi(port, 'GET', '/debug/journal');
      const { lines } = data as { lines: JournalEntry[] };
      return lines.map((line) => ({ ...line, workerId: id }));
    }),
  );
  return journals.flat().sort((a, b) => a.wall - b.wall);
};
