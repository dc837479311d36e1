import type { Effect } from '../Effect.js';
import type { NodeId } from '../NodeId.js';
import type { State } from '../State.js';
import { failCommand } from './failCommand.js';

/** Fails the commands that await an answer from a disconnected daemon. */
export const failCommandsForNode = (state: State, node: NodeId): Effect[] =>
  [...state.requests.pendingCommands.values()]
    .filter((pending) => pending.awaitedNodes.has(node))
    .flatMap((pending) => failCommand(state, pending));
