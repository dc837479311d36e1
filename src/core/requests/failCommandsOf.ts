import type { Effect } from '../Effect.js';
import type { NodeId } from '../NodeId.js';
import type { State } from '../State.js';
import { failCommand } from './failCommand.js';

/** Fails the commands that wait for a daemon whose link was lost. */
export const failCommandsOf = (state: State, node: NodeId): Effect[] =>
  [...state.requests.commands.values()]
    .filter((pending) => pending.open.has(node))
    .flatMap((pending) => failCommand(state, pending));
