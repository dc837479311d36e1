import { waitMs } from './waitMs.js';

const pollIntervalMs = 50;

/**
 * Polls until `find` returns a value other than undefined. At the limit it throws an error with the
 * description and the last error of `find`.
 */
export const waitUntil = async <T>(
  description: string,
  limitMs: number,
  find: () => Promise<T | undefined> | T | undefined,
): Promise<T> => {
  const deadlineMs = performance.now() + limitMs;
  let lastError = '';
  while (performance.now() < deadlineMs) {
    try {
      // eslint-disable-next-line no-await-in-loop -- polls run one after another
      const found = await find();
      if (found !== undefined) return found;
    } catch (error) {
      lastError = String(error);
    }
    // eslint-disable-next-line no-await-in-loop -- the pause between two polls
    await waitMs(pollIntervalMs);
  }
  throw new Error(`timed out after ${limitMs} ms while waiting for: ${description} ${lastError}`);
};
