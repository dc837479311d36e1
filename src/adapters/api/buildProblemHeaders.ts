import type { Refusal } from '../../core/Refusal.js';

const unauthorizedStatus = 401;

/** Builds the headers of an `application/problem+json` response, with `Retry-After` in seconds. */
export const buildProblemHeaders = (
  refusal: Refusal,
  requestId: string,
  status: number,
): Record<string, string> => ({
  'content-type': 'application/problem+json',
  'siskin-request-id': requestId,
  ...(refusal.retryAfterMs === undefined
    ? {}
    : { 'retry-after': String(Math.max(1, Math.ceil(refusal.retryAfterMs / 1000))) }),
  ...(status === unauthorizedStatus ? { 'www-authenticate': 'Bearer' } : {}),
});
