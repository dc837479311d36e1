import type { RequestResult } from './RequestResult.js';
import type { RequestRun } from './RequestRun.js';

/** Records how an open request ended. */
export const closeRequest = (
  run: RequestRun,
  requestId: string,
  end: RequestResult['end'],
  at: number,
): void => {
  const entry = run.open.get(requestId);
  if (!entry) return;
  run.open.delete(requestId);
  const { request } = entry.attempt;
  run.results.push({ request, end, latencyMs: at - request.at, usedMs: entry.usedMs });
};
