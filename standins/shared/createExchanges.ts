import type { Exchanges } from './Exchanges.js';
import type { HttpContext } from './HttpContext.js';

/** Creates the table of open HTTP requests. */
export const createExchanges = (): Exchanges => {
  const responders = new Map<string, (makeResponse: (context: HttpContext) => Response) => void>();
  let requestCount = 0;
  return {
    openExchange: (context, start) => {
      requestCount += 1;
      const requestId = `r${requestCount}`;
      return new Promise<Response>((resolve) => {
        responders.set(requestId, (makeResponse) => resolve(makeResponse(context)));
        context.env.outgoing.once('close', () => responders.delete(requestId));
        start(requestId);
      });
    },
    finishExchange: (requestId, makeResponse) => {
      const respond = responders.get(requestId);
      responders.delete(requestId);
      respond?.(makeResponse);
    },
  };
};
