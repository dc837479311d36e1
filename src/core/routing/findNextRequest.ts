import type { State } from '../State.js';
import { computeClassLimitMs } from './computeClassLimitMs.js';
import type { WaitingRequest } from './WaitingRequest.js';

// At a quarter, a backlog of long requests passed every short one (docs/measurements.md, round 1).
// The last quarter of the deadline leaves an old request time to run.
const agedShareOfDeadline = 0.75;

const isAged = (request: WaitingRequest, at: number): boolean =>
  at - request.enqueuedAt > (request.deadlineAt - request.enqueuedAt) * agedShareOfDeadline;

type Queue = readonly WaitingRequest[];

const findNext = (state: State, queue: Queue, at: number): WaitingRequest => {
  const [oldest] = queue;
  if (oldest && isAged(oldest, at)) return oldest;
  const means = queue.map((request) => state.routing.meanMsByClass.get(request.requestClass) ?? 0);
  return queue[means.indexOf(Math.min(...means))]!;
};

const listServable = (state: State, at: number): [string, Queue][] => {
  const limitMs = computeClassLimitMs(state, at);
  // A class without an observation may be long, so it gets no kept slot.
  const isServable = (request: WaitingRequest): boolean =>
    (state.routing.meanMsByClass.get(request.requestClass) ?? Infinity) <= limitMs ||
    isAged(request, at);
  return [...state.routing.queuesByWorkspace]
    .map(([name, queue]): [string, Queue] => [name, queue.filter(isServable)])
    .filter(([, queue]) => queue.length > 0);
};

/**
 * Finds the request that is served next: the workspace with the least weighted use has its turn,
 * and within it the class observed to be shortest, unless the oldest has waited for three quarters
 * of its deadline. Long classes are left out while only the slots kept for short ones are free.
 * O(workers + classes + requests waiting).
 */
export const findNextRequest = (state: State, at: number): WaitingRequest | null => {
  const { virtualTimeByWorkspace: served } = state.routing;
  const [turn] = listServable(state, at).sort(
    (a, b) => (served.get(a[0]) ?? 0) - (served.get(b[0]) ?? 0),
  );
  return turn ? findNext(state, turn[1], at) : null;
};
