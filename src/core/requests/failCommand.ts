import type { Effect } from '../Effect.js';
import { refuse } from '../refuse.js';
import type { State } from '../State.js';
import type { PendingCommand } from './PendingCommand.js';

/** Answers a command whose daemon did not; only a command that changes nothing was surely not run. */
export const failCommand = (state: State, pending: PendingCommand): Effect[] => {
  state.requests.commands.delete(pending.requestId);
  const refusal = pending.changes
    ? refuse('outcome-unknown', 'unknown')
    : refuse('no-scheduler', 'not-run', 1000);
  return [
    { type: 'answerCommand', requestId: pending.requestId, result: { ok: false, refusal } },
    { type: 'countRefusal', reason: refusal.reason },
  ];
};
