import { isAllowed } from '../access/isAllowed.js';
import type { Principal } from '../access/Principal.js';
import { resolvePrincipal } from '../access/resolvePrincipal.js';
import type { Command } from '../commands/Command.js';
import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { Refusal } from '../Refusal.js';
import { createRefusal } from '../createRefusal.js';
import type { State } from '../State.js';
import { commandRoutes } from './commandRoutes.js';
import { sendCommand } from './sendCommand.js';

const refuseCommand = (requestId: string, refusal: Refusal): Effect[] => [
  { type: 'answerCommand', requestId, result: { ok: false, refusal } },
  { type: 'countRefusal', reason: refusal.reason },
];

const findRefusal = (
  state: State,
  principal: Principal | null,
  command: Command,
): Refusal | null => {
  if (!principal) return createRefusal('unauthorized');
  const target = commandRoutes[command.kind].getAccessTarget(command as never);
  if (isAllowed(state, principal, target)) return null;
  const isUnknownWorkspace =
    target.kind === 'workspace' && !state.settings.teamByWorkspace.has(target.workspace);
  return createRefusal(
    isUnknownWorkspace && principal.kind === 'root' ? 'unknown-workspace' : 'forbidden',
  );
};

/** Authorizes a command and answers it, or forwards it to the daemons that decide on it. */
export const handleCommandRequested = (
  state: State,
  event: EventOf<'commandRequested'>,
): Effect[] => {
  const { requestId, command } = event;
  const principal = resolvePrincipal(state, event.tokenHash);
  const refusal = findRefusal(state, principal, command);
  if (refusal || !principal) {
    return refuseCommand(requestId, refusal ?? createRefusal('unauthorized'));
  }
  const route = commandRoutes[command.kind];
  if (route.answerLocally) {
    return [{ type: 'answerCommand', requestId, result: route.answerLocally(state, principal) }];
  }
  const routedCommand = route.resolveZone(state, command as never);
  const targets = route.findTargets(state, routedCommand as never, event.at);
  if (targets.length === 0)
    return refuseCommand(requestId, createRefusal(route.refusalWithoutTarget, 'not-run', 1000));
  return sendCommand(state, requestId, routedCommand, targets, event.at);
};
