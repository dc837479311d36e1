import type { NodeId } from '../NodeId.js';
import type { State } from '../State.js';

/** Notes when a gateway last ended an attempt for a workspace, whose count it has not yet handed on. */
export const noteCounted = (
  state: State,
  gateway: NodeId,
  workspace: string,
  wall: number,
): void => {
  const { countedWall } = state.routing;
  const counted = countedWall.get(gateway) ?? new Map<string, number>();
  countedWall.set(gateway, counted.set(workspace, wall));
};
