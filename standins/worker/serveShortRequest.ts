import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import type { Exchanges } from '../shared/Exchanges.js';
import type { HttpContext } from '../shared/HttpContext.js';
import type { Push } from '../shared/Push.js';
import type { WorkerEvent } from './WorkerEvent.js';
import { parseNumber } from './parseNumber.js';

const countBytes = async (context: HttpContext): Promise<number> => {
  let count = 0;
  for await (const chunk of context.env.incoming) count += (chunk as Buffer).length;
  return count;
};

/** Reads a short request and passes it to the event loop once its body is complete. */
export const serveShortRequest = async (
  context: HttpContext,
  exchanges: Exchanges,
  push: Push<WorkerEvent>,
): Promise<Response> => {
  const { req, env } = context;
  const read = (name: string) => req.query(name) ?? req.header(name);
  let requestBodyBytes: number;
  try {
    requestBodyBytes = await countBytes(context);
  } catch {
    return RESPONSE_ALREADY_SENT;
  }
  return exchanges.openExchange(context, (requestId) => {
    env.outgoing.once('close', () =>
      push({ type: 'shortClosed', requestId, complete: env.outgoing.writableFinished }),
    );
    push({
      type: 'shortRequested',
      requestId,
      request: {
        method: req.method,
        path: req.path,
        attemptId: req.header('siskin-attempt') ?? null,
        siskinRequest: req.header('siskin-request') ?? null,
        requestBodyBytes,
        answerBytes: parseNumber(read, 'x-body-bytes', 0),
        status: parseNumber(read, 'x-status', 200),
        remainingMs: parseNumber(read, 'x-work-ms', 20),
      },
    });
  });
};
