import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { commandRoutes } from './commandRoutes.js';
import { mergeAnswers } from './mergeAnswers.js';

/** Answers a command when all its target daemons have answered, or when one has refused. */
export const handleCommandResult = (state: State, event: EventOf<'commandResult'>): Effect[] => {
  const { requestId, result, from } = event;
  const pending = state.requests.pendingCommands.get(requestId);
  if (!pending?.awaitedNodes.delete(from)) return [];
  if (!result.ok) {
    state.requests.pendingCommands.delete(requestId);
    return [
      { type: 'answerCommand', requestId, result },
      { type: 'countRefusal', reason: result.refusal.reason },
    ];
  }
  pending.answersByZone[state.membership.peers.get(from)?.zone ?? from] = result.data;
  if (pending.awaitedNodes.size > 0) return [];
  state.requests.pendingCommands.delete(requestId);
  const data = mergeAnswers(commandRoutes[pending.kind].merge, pending.answersByZone);
  return [{ type: 'answerCommand', requestId, result: { ok: true, data } }];
};
