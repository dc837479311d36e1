import { callApi } from '../../../tools/office/callApi.js';
import type { Office } from '../../../tools/office/Office.js';

const limit = 10_000;

/** Reads the records of a stream directly from the log. */
export const readStream = async <T>(office: Office, stream: string): Promise<T[]> => {
  const path = `/streams/${stream}/records?from=0&limit=${limit}`;
  const { data } = await callApi(office.logPort, 'GET', path);
  return (data as { records: { data: T }[] }).records.map((record) => record.data);
};
