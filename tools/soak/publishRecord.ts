import { request } from 'undici';
import { encodeLogRecords } from '../../platform/encodeLogRecords.js';
import { waitMs } from '../cluster/waitMs.js';

const callTimeoutMs = 1000;
const retryDelayMs = 300;
const okStatus = 200;

/** Appends a record of the operator or of a worker to the store; retries while the store is unavailable. */
export const publishRecord = async (
  storePort: number,
  topic: string,
  key: string,
  value: unknown,
): Promise<void> => {
  const bytes = value === null ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value));
  const url = `http://127.0.0.1:${storePort}/-/log-append?topic=${topic}&part=0`;
  for (;;) {
    try {
      // eslint-disable-next-line no-await-in-loop -- attempts are sequential.
      const { statusCode, body } = await request(url, {
        method: 'POST',
        // Leaves no connection to the calls that are not repeated.
        reset: true,
        body: encodeLogRecords([{ key, value: bytes }]),
        signal: AbortSignal.timeout(callTimeoutMs),
      });
      // eslint-disable-next-line no-await-in-loop -- releases the connection.
      await body.dump();
      if (statusCode === okStatus) return;
    } catch {
      // The outcome is unknown; appending the same record again is idempotent.
    }
    // eslint-disable-next-line no-await-in-loop -- delay between attempts.
    await waitMs(retryDelayMs);
  }
};
