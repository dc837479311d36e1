import type { State } from '../State.js';
import { computeClassLimitMs } from './computeClassLimitMs.js';
import type { WaitingRequest } from './WaitingRequest.js';

// At 0.25, a backlog of long requests overtook every short one (docs/measurements.md, round 1). The
// last quarter of the deadline leaves an aged request time to run.
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
  // A class without an observation may be long, so it gets no reserved slot.
  const isEligible = (request: WaitingRequest): boolean =>
    (state.routing.meanMsByClass.get(request.requestClass) ?? Infinity) <= limitMs ||
    isAged(request, at);
  return [...state.routing.queuesByWorkspace]
    .map(([name, queue]): [string, Queue] => [name, queue.filter(isEligible)])
    .filter(([, queue]) => queue.length > 0);
};

/**
 * Finds the request that gets the next slot: of the workspace with the lowest virtual time, the one
 * of the class with the shortest mean service time, unless the oldest has waited for three quarters
 * of its deadline. Long classes are skipped while only slots reserved for short ones are free.
 * O(workers + classes + waiting requests).
 */
export const findNextRequest = (state: State, at: number): WaitingRequest | null => {
  const { virtualTimeByWorkspace } = state.routing;
  const [nextQueue] = listEligibleQueues(state, at).sort(
    (a, b) => (virtualTimeByWorkspace.get(a[0]) ?? 0) - (virtualTimeByWorkspace.get(b[0]) ?? 0),
  );
  return nextQueue ? findNextInQueue(state, nextQueue[1], at) : null;
};
