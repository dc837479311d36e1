import type { State } from '../State.js';
import { computeClassLimitMs } from './computeClassLimitMs.js';
import type { WaitingRequest } from './WaitingRequest.js';

// At a quarter, a backlog of long requests passed every short one (docs/measurements.md, round 1).
// The last quarter of the deadline leaves an old request time to run.
const agedDeadlineShare = 0.75;

const isAged = (request: WaitingRequest, at: number): boolean =>
  at - request.enqueuedAt > (request.deadlineAt - request.enqueuedAt) * agedDeadlineShare;

type Queue = readonly WaitingRequest[];

const findNextInQueue = (state: State, queue: Queue, at: number): WaitingRequest => {
  const [oldest] = queue;
  if (oldest && isAged(oldest, at)) return oldest;
  const classMeans = queue.map(
    (request) => state.routing.meanMsByClass.get(request.requestClass) ?? 0,
  );
  return queue[classMeans.indexOf(Math.min(...classMeans))]!;
};

const listEligibleQueues = (state: State, at: number): [string, Queue][] => {
  const limitMs = computeClassLimitMs(state, at);
  // A class without an observation may be long, so it gets no kept slot.
  const isEligible = (request: WaitingRequest): boolean =>
    (state.routing.meanMsByClass.get(request.requestClass) ?? Infinity) <= limitMs ||
    isAged(request, at);
  return [...state.routing.queuesByWorkspace]
    .map(([name, queue]): [string, Queue] => [name, queue.filter(isEligible)])
    .filter(([, queue]) => queue.length > 0);
};

/**
 * Finds the request that is served next: the workspace with the least weighted use has its turn,
 * and within it the class observed to be shortest, unless the oldest has waited for three quarters
 * of its deadline. Long classes are left out while only the slots kept for short ones are free.
 * O(workers + classes + requests waiting).
 */
export const findNextRequest = (state: State, at: number): WaitingRequest | null => {
  const { virtualTimeByWorkspace } = state.routing;
  const [nextTurn] = listEligibleQueues(state, at).sort(
    (a, b) => (virtualTimeByWorkspace.get(a[0]) ?? 0) - (virtualTimeByWorkspace.get(b[0]) ?? 0),
  );
  return nextTurn ? findNextInQueue(state, nextTurn[1], at) : null;
};
