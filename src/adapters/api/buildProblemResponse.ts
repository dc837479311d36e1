import type { Refusal } from '../../core/Refusal.js';
import { translateRefusal } from '../../core/translateRefusal.js';
import { buildProblemHeaders } from './buildProblemHeaders.js';

/** Builds the `application/problem+json` response for a refusal. */
export const buildProblemResponse = (refusal: Refusal, requestId: string): Response => {
  const problem = translateRefusal(refusal, requestId);
  const { status } = problem;
  const headers = buildProblemHeaders(refusal, requestId, status);
  return new Response(JSON.stringify(problem), { status, headers });
};
