import type { State } from '../State.js';
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

const findNextIndex = (state: State, queue: WaitingRequest[], at: number): number => {
  if (queue[0] && isAged(queue[0], at)) return 0;
  const means = queue.map((request) => state.routing.classMeanMs.get(request.requestClass) ?? 0);
  return means.indexOf(Math.min(...means));
};

/**
 * Takes the request that is served next: the workspace with the least weighted use has its turn,
 * and within it the class observed to be shortest, unless the oldest has waited for three
 * quarters of its deadline. O(workspaces + requests waiting in the chosen workspace).
 */
export const takeNextWaiting = (state: State, at: number): WaitingRequest | null => {
  const { queues, served } = state.routing;
  const waiting = [...queues].filter(([, queue]) => queue.length > 0);
  const turn = waiting.sort((a, b) => (served.get(a[0]) ?? 0) - (served.get(b[0]) ?? 0))[0];
  if (!turn) return null;
  const [workspace, queue] = turn;
  const [request] = queue.splice(findNextIndex(state, queue, at), 1);
  const cost = state.routing.classMeanMs.get(request!.requestClass) ?? 1;
  served.set(workspace, (served.get(workspace) ?? 0) + cost / getWeight(state, workspace));
  return request!;
};
