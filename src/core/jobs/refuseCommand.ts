import { answerCommand } from '../commands/answerCommand.js';
import type { Effect } from '../Effect.js';
import type { NodeId } from '../NodeId.js';
import type { Refusal } from '../Refusal.js';

/** Refuses a command and counts the refusal. */
export const refuseCommand = (
  { from, requestId }: { from: NodeId; requestId: string },
  refusal: Refusal,
): Effect[] => [
  { type: 'countRefusal', reason: refusal.reason },
  answerCommand(from, requestId, { ok: false, refusal }),
];
