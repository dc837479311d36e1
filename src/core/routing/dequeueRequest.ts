import type { State } from '../State.js';
import type { WaitingRequest } from './WaitingRequest.js';

const getWeight = (state: State, workspace: string): number => {
  const team = state.settings.teamByWorkspace.get(workspace) ?? '';
  return state.settings.inForce?.tree.teams[team]?.workspaces[workspace]?.weight ?? 1;
};

/**
 * Removes a request that got a worker from its queue and adds its estimated cost to the virtual
 * time of its workspace. O(waiting requests of the workspace).
 */
export const dequeueRequest = (state: State, request: WaitingRequest, at: number): void => {
  const { queuesByWorkspace, virtualTimeByWorkspace, meanMsByClass, lastGrantAtByClass } =
    state.routing;
  const { workspace, requestClass } = request;
  const queue = queuesByWorkspace.get(workspace)!;
  queue.splice(queue.indexOf(request), 1);
  const cost = meanMsByClass.get(requestClass) ?? 1;
  virtualTimeByWorkspace.set(
    workspace,
    (virtualTimeByWorkspace.get(workspace) ?? 0) + cost / getWeight(state, workspace),
  );
  lastGrantAtByClass.set(requestClass, at);
};
