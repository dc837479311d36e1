import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import { failCommand } from './failCommand.js';

/** Fails the commands whose deadline has passed. */
export const expireCommands = (state: State, at: number): Effect[] =>
  [...state.requests.pendingCommands.values()]
    .filter((pending) => at >= pending.deadlineAt)
    .flatMap((pending) => failCommand(state, pending));
