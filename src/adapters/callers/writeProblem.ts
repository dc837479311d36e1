import type { ServerResponse } from 'node:http';
import type { Refusal } from '../../core/Refusal.js';
import { translateRefusal } from '../../core/translateRefusal.js';

/** Answers a caller with a refusal as `application/problem+json`. */
export const writeProblem = (
  outgoing: ServerResponse,
  refusal: Refusal,
  requestId: string,
  closeConnection: boolean,
): void => {
  if (outgoing.headersSent || outgoing.destroyed) return;
  const problem = translateRefusal(refusal, requestId);
  outgoing.writeHead(problem.status, {
    'content-type': 'application/problem+json',
    'siskin-request-id': requestId,
    ...(closeConnection ? { connection: 'close' } : {}),
    ...(refusal.retryAfterMs === undefined
      ? {}
      : { 'retry-after': String(Math.max(1, Math.ceil(refusal.retryAfterMs / 1000))) }),
  });
  outgoing.end(JSON.stringify(problem));
};
