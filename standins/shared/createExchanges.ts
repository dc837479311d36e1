import type { Exchanges } from './Exchanges.js';
import type { HttpContext } from './HttpContext.js';

/** Creates the table of open HTTP requests. */
export const createExchanges = (): Exchanges => {
  const open = new Map<string, (makeResponse: (context: HttpContext) => Response) => void>();
  let count = 0;
  return {
    openExchange: (context, start) => {
      count += 1;
      const requestId = `r${count}`;
      return new Promise<Response>((resolve) => {
        open.set(requestId, (makeResponse) => resolve(makeResponse(context)));
        context.env.outgoing.once('close', () => open.delete(requestId));
        start(requestId);
      });
    },
    finishExchange: (requestId, makeResponse) => {
      const finish = open.get(requestId);
      open.delete(requestId);
      finish?.(makeResponse);
    },
  };
};
