import type { ServerResponse } from 'node:http';
import type { Refusal } from '../../core/Refusal.js';
import { translateRefusal } from '../../core/translateRefusal.js';
import { buildProblemHeaders } from '../api/buildProblemHeaders.js';

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
    ...buildProblemHeaders(refusal, requestId, problem.status),
    ...(closeConnection ? { connection: 'close' } : {}),
  });
  outgoing.end(JSON.stringify(problem));
};
