import type { State } from '../State.js';
import { computeClassLimitMs } from './computeClassLimitMs.js';
import type { WaitingRequest } from './WaitingRequest.js';

// At a quarter, a backlog of long requests passed every short one (docs/measurements.md, round 1).
// The last quarter of the deadline leaves an old request time to run.
const agedShareOfDeadline = 0.75;

const getWeight = (state: State, workspace: string): number => {
  const team = state.settings.teamByWorkspace.get(workspace) ?? '';
  return state.settings.inForce?.tree.teams[team]?.workspaces[workspace]?.weight ?? 1;
};

const isAged = (request: WaitingRequest, at: number): boolean =>
  at - request.enqueuedAt > (request.deadlineAt - request.enqueuedAt) * agedShareOfDeadline;

type Queue = readonly WaitingRequest[];

const findNext = (state: State, queue: Queue, at: number): WaitingRequest => {
  const [oldest] = queue;
  if (oldest && isAged(oldest, at)) return oldest;
  const means = queue.map((request) => state.routing.classMeanMs.get(request.requestClass) ?? 0);
  return queue[means.indexOf(Math.min(...means))]!;
};

const listServable = (state: State, at: number): [string, Queue][] => {
  const limitMs = computeClassLimitMs(state, at);
  // A class without an observation may be long, so it gets no kept slot.
  const isServable = (request: WaitingRequest): boolean =>
    (state.routing.classMeanMs.get(request.requestClass) ?? Infinity) <= limitMs ||
    isAged(request, at);
  return [...state.routing.queues]
    .map(([name, queue]): [string, Queue] => [name, queue.filter(isServable)])
    .filter(([, queue]) => queue.length > 0);
};

/**
 * Takes the request that is served next: the workspace with the least weighted use has its turn,
 * and within it the class observed to be shortest, unless the oldest has waited for three quarters
 * of its deadline. Long classes are left out while only the slots kept for short ones are free.
 * O(workers + classes + requests waiting).
 */
export const takeNextWaiting = (state: State, at: number): WaitingRequest | null => {
  const { queues, served, classMeanMs, classTakenAt } = state.routing;
  const [turn] = listServable(state, at).sort(
    (a, b) => (served.get(a[0]) ?? 0) - (served.get(b[0]) ?? 0),
  );
  if (!turn) return null;
  const [workspace, servable] = turn;
  const request = findNext(state, servable, at);
  const queue = queues.get(workspace)!;
  queue.splice(queue.indexOf(request), 1);
  const cost = classMeanMs.get(request.requestClass) ?? 1;
  served.set(workspace, (served.get(workspace) ?? 0) + cost / getWeight(state, workspace));
  classTakenAt.set(request.requestClass, at);
  return request;
};
