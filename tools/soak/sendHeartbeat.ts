import { request } from 'undici';
import { readClock } from '../../standins/shared/readClock.js';
import type { SoakWorker } from './SoakWorker.js';

const callTimeoutMs = 1000;
const okStatus = 200;

/** Sends an entry to the registry once; null removes it. Returns whether the store accepted it. */
export const sendHeartbeat = async (
  storePort: number,
  worker: SoakWorker,
  entry: Record<string, unknown> | null,
): Promise<boolean> => {
  const { at } = readClock();
  try {
    const { statusCode, body } = await request(
      `http://127.0.0.1:${storePort}/heartbeat?key=${worker.id}`,
      {
        method: 'PUT',
        reset: true,
        body: entry ? JSON.stringify(entry) : '',
        signal: AbortSignal.timeout(callTimeoutMs),
      },
    );
    await body.dump();
    if (statusCode !== okStatus) return false;
    worker.registration.acceptedAt = at;
    return true;
  } catch {
    // The store is away; the next heartbeat tells the same.
    return false;
  }
};
