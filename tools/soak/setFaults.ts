import { callApi } from '../cluster/callApi.js';

/** Sets faults of a stand-in through its control interface. */
export const setFaults = async (port: number, faults: Record<string, unknown>): Promise<void> => {
  // A reused connection may be closed by the stand-in at the same moment.
  const headers = { connection: 'close' };
  const { status } = await callApi(port, 'PUT', '/faults', { body: faults, headers });
  if (status !== 200) throw new Error(`setting faults failed with status ${status}`);
};
