import type { IncomingMessage, ServerResponse } from 'node:http';

/** One caller's connection and its request, kept until the answer has ended. */
export interface Caller {
  requestId: string;
  workspace: string;
  incoming: IncomingMessage;
  outgoing: ServerResponse;
  /** Path and query as the backend server gets them. */
  path: string;
  /** Body, read whole so that another attempt can send it again. */
  body: Buffer;
}
