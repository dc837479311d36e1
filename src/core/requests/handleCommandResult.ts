import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { commandRoutes } from './commandRoutes.js';

/** Passes a command's answer on; answers of several zones are merged under their names. */
export const handleCommandResult = (state: State, event: EventOf<'commandResult'>): Effect[] => {
  const { requestId, result, from } = event;
  const pending = state.requests.commands.get(requestId);
  if (!pending?.open.delete(from)) return [];
  if (!commandRoutes[pending.kind].perZone || !result.ok) {
    state.requests.commands.delete(requestId);
    const counted: Effect[] = result.ok
      ? []
      : [{ type: 'countRefusal', reason: result.refusal.reason }];
    return [{ type: 'answerCommand', requestId, result }, ...counted];
  }
  pending.answers[state.membership.peers.get(from)?.zone ?? from] = result.data;
  if (pending.open.size > 0) return [];
  state.requests.commands.delete(requestId);
  const data = { zones: pending.answers };
  return [{ type: 'answerCommand', requestId, result: { ok: true, data } }];
};
