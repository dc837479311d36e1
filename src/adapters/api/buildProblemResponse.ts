import type { Refusal } from '../../core/Refusal.js';
import { translateRefusal } from '../../core/translateRefusal.js';

/** Builds the `application/problem+json` answer to a refusal, with `Retry-After` in seconds. */
export const buildProblemResponse = (refusal: Refusal, requestId: string): Response => {
  const problem = translateRefusal(refusal, requestId);
  const headers = new Headers({
    'content-type': 'application/problem+json',
    'siskin-request-id': requestId,
  });
  if (refusal.retryAfterMs !== undefined) {
    headers.set('retry-after', String(Math.max(1, Math.ceil(refusal.retryAfterMs / 1000))));
  }
  if (problem.status === 401) headers.set('www-authenticate', 'Bearer');
  return new Response(JSON.stringify(problem), { status: problem.status, headers });
};
