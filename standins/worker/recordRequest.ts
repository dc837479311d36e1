import type { WorkerState } from './WorkerState.js';
import type { ShortRequest } from './ShortRequest.js';

/** Appends a short request's start, or its end if there is an outcome, to the journal. */
export const recordRequest = (
  state: WorkerState,
  request: ShortRequest,
  { at, wall }: { at: number; wall: number },
  outcome?: 'answered' | 'interrupted',
): void => {
  const { attemptId, siskinRequest, method, path } = request;
  state.journal.push({
    seq: state.journal.length + 1,
    at,
    wall,
    kind: outcome ? 'requestEnded' : 'requestStarted',
    attemptId,
    siskinRequest,
    method,
    path,
    ...(outcome ? { outcome } : {}),
  });
};
