import type { Command } from '../commands/Command.js';
import type { Effect } from '../Effect.js';
import type { NodeId } from '../NodeId.js';
import type { State } from '../State.js';
import { commandRoutes } from './commandRoutes.js';

/** Sends a command to its target daemons and registers it as pending. */
export const sendCommand = (
  state: State,
  requestId: string,
  command: Command,
  targets: NodeId[],
  at: number,
): Effect[] => {
  state.requests.pendingCommands.set(requestId, {
    requestId,
    kind: command.kind,
    deadlineAt: at + state.timing.commandTimeoutMs,
    mutates: commandRoutes[command.kind].mutates,
    awaitedNodes: new Set(targets),
    answersByZone: {},
  });
  return targets.map((to) => ({
    type: 'send',
    to,
    message: { type: 'command', requestId, command },
  }));
};
