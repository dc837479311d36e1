import type { RequestResult } from './RequestResult.js';
import type { RequestRun } from './RequestRun.js';

/** Records how an open request ended. */
export const closeRequest = (
  run: RequestRun,
  requestId: string,
  outcome: RequestResult['outcome'],
  at: number,
): void => {
  const openRequest = run.openRequests.get(requestId);
  if (!openRequest) return;
  run.openRequests.delete(requestId);
  const { request } = openRequest.attempt;
  run.results.push({
    request,
    outcome,
    latencyMs: at - request.arrivalAt,
    usedMs: openRequest.usedMs,
  });
};
