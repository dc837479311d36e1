import type { IncomingMessage, ServerResponse } from 'node:http';

/** A caller's connection and request, kept until the response is complete. */
export interface Caller {
  requestId: string;
  workspace: string;
  incoming: IncomingMessage;
  outgoing: ServerResponse;
  /** Path and query as the backend server receives them. */
  path: string;
  /** Complete body, buffered so that a later attempt can send it again. */
  body: Buffer;
}
