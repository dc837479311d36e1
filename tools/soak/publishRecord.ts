import { request } from 'undici';
import { encodeLog } from '../../platform/encodeLog.js';

/** Appends a record of the operator or of a worker to the store. */
export const publishRecord = async (
  storePort: number,
  topic: string,
  key: string,
  value: unknown,
): Promise<void> => {
  const bytes = value === null ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value));
  const url = `http://127.0.0.1:${storePort}/-/log-append?topic=${topic}&part=0`;
  const { body } = await request(url, { method: 'POST', body: encodeLog([{ key, value: bytes }]) });
  await body.dump();
};
