import { waitMs } from './waitMs.js';

const pollMs = 50;

/** Polls until `find` returns a value; throws with the description when the limit is reached. */
export const waitUntil = async <T>(
  description: string,
  limitMs: number,
  find: () => Promise<T | undefined> | T | undefined,
): Promise<T> => {
  const deadline = performance.now() + limitMs;
  let lastError = '';
  while (performance.now() < deadline) {
    try {
      // eslint-disable-next-line no-await-in-loop -- polls run one after another
      const found = await find();
      if (found !== undefined) return found;
    } catch (error) {
      lastError = String(error);
    }
    // eslint-disable-next-line no-await-in-loop -- the pause between two polls
    await waitMs(pollMs);
  }
  throw new Error(`not seen within ${limitMs} ms: ${description} ${lastError}`);
};
