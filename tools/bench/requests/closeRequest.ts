import type { RequestResult } from './RequestResult.js';
import type { RequestRun } from './RequestRun.js';

/** Records how an open request ended. */
export const closeRequest = (
  run: RequestRun,
  requestId: string,
  end: RequestResult['outcome'],
  at: number,
): void => {
  const entry = run.openRequests.get(requestId);
  if (!entry) return;
  run.openRequests.delete(requestId);
  const { request } = entry.attempt;
  run.results.push({
    request,
    outcome: end,
    latencyMs: at - request.arrivalAt,
    usedMs: entry.usedMs,
  });
};
