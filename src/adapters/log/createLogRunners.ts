import { Pool } from 'undici';
import type { Effect } from '../../core/Effect.js';
import type { UntimedEvent } from '../../core/UntimedEvent.js';
import { appendResponseSchema } from './appendResponseSchema.js';
import { callLog } from './callLog.js';
import { readResponseSchema } from './readResponseSchema.js';

/** Enough to connect to the log service, which is in the same region. */
const connectTimeoutMs = 1000;
/** Below `commandTimeoutMs`, so that an operator learns the outcome before the timeout. */
const appendTimeoutMs = 5000;
/** Added to the wait of a long poll; short, because settings must take effect within 7 s. */
const readTimeoutMarginMs = 2000;

type RunnerOf<T extends Effect['type']> = (effect: Extract<Effect, { type: T }>) => Promise<void>;

/** Creates the runners of the effects on the log; each response or failure becomes one event. */
export const createLogRunners = (
  baseUrl: string,
  push: (event: UntimedEvent) => void,
): {
  appendLog: RunnerOf<'appendLog'>;
  readLog: RunnerOf<'readLog'>;
  close: () => Promise<void>;
} => {
  // The number of connections is not limited: with a limit, requests would be queued, and their
  // timeouts would start before they are sent. The core keeps few requests in flight.
  const pool = new Pool(new URL(baseUrl).origin, { connect: { timeout: connectTimeoutMs } });
  const pathPrefix = new URL(baseUrl).pathname.replace(/\/$/, '');
  return {
    appendLog: ({ appendId, stream, records }) =>
      callLog(
        pool,
        {
          method: 'POST',
          path: `${pathPrefix}/streams/${stream}/records`,
          headers: { 'content-type': 'application/json' },
          body: JSON.stringify({ records }),
          headersTimeout: appendTimeoutMs,
          bodyTimeout: appendTimeoutMs,
        },
        appendResponseSchema,
      ).match(
        ({ firstOffset }) => push({ type: 'logAppended', appendId, stream, firstOffset }),
        ({ kind, message }) =>
          push({ type: 'logAppendFailed', appendId, stream, outcome: kind, error: message }),
      ),
    readLog: ({ readId, stream, fromOffset, limit, waitMs }) =>
      callLog(
        pool,
        {
          method: 'GET',
          path: `${pathPrefix}/streams/${stream}/records`,
          query: { from: fromOffset, limit, waitMs },
          headersTimeout: waitMs + readTimeoutMarginMs,
          bodyTimeout: readTimeoutMarginMs,
        },
        readResponseSchema,
      ).match(
        (page) => push({ type: 'logRead', readId, stream, ...page }),
        ({ message }) => push({ type: 'logReadFailed', readId, stream, error: message }),
      ),
    close: () => pool.destroy(),
  };
};
