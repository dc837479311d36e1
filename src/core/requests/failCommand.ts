import type { Effect } from '../Effect.js';
import { createRefusal } from '../createRefusal.js';
import type { State } from '../State.js';
import type { PendingCommand } from './PendingCommand.js';

/** Refuses a command that got no answer; the outcome is unknown if the command changes state. */
export const failCommand = (state: State, pending: PendingCommand): Effect[] => {
  state.requests.pendingCommands.delete(pending.requestId);
  const refusal = pending.mutates
    ? createRefusal('outcome-unknown', 'unknown')
    : createRefusal('no-scheduler', 'not-run', 1000);
  return [
    { type: 'answerCommand', requestId: pending.requestId, result: { ok: false, refusal } },
    { type: 'countRefusal', reason: refusal.reason },
  ];
};
