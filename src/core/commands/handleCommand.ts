import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import { jobsCommandHandlers } from '../jobs/jobsCommandHandlers.js';
import { settingsCommandHandlers } from '../settings/settingsCommandHandlers.js';
import type { State } from '../State.js';
import { usageCommandHandlers } from '../usage/usageCommandHandlers.js';
import { answerCommand } from './answerCommand.js';
import type { CommandHandlerTable } from './CommandHandlerTable.js';
import { statusCommandHandlers } from './statusCommandHandlers.js';

const commandHandlers: CommandHandlerTable = {
  ...jobsCommandHandlers,
  ...settingsCommandHandlers,
  ...usageCommandHandlers,
  ...statusCommandHandlers,
};

type AnyHandler = (state: State, request: EventOf<'command'>) => Effect[];

/** Dispatches a command to the handler of its kind; an unknown kind is refused. */
export const handleCommand = (state: State, event: EventOf<'command'>): Effect[] => {
  const handler = commandHandlers[event.command.kind] as AnyHandler | undefined;
  if (handler) return handler(state, event);
  const refusal = { reason: 'bad-request', outcome: 'not-run' } as const;
  return [answerCommand(event.from, event.requestId, { ok: false, refusal })];
};
