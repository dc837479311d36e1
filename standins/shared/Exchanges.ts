import type { HttpContext } from './HttpContext.js';

/** Open HTTP requests of a stand-in, by request id. */
export interface Exchanges {
  /** Registers the request, calls `start` with its id and waits for the answer. */
  openExchange: (
    context: HttpContext,
    start: (requestId: string) => void,
  ) => Promise<Response> | Response;
  /** Answers the request; `makeResponse` is not called if the caller has disconnected. */
  finishExchange: (requestId: string, makeResponse: (context: HttpContext) => Response) => void;
}
