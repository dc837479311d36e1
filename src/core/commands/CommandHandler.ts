import type { EventOf } from '../EventOf.js';
import type { Effect } from '../Effect.js';
import type { NodeId } from '../NodeId.js';
import type { State } from '../State.js';
import type { Command } from './Command.js';

/** Decides on one command that a gateway passed on; answers with a `commandResult` message. */
export type CommandHandler<K extends Command['kind']> = (
  state: State,
  request: {
    requestId: string;
    from: NodeId;
    at: EventOf<'command'>['at'];
    wall: EventOf<'command'>['wall'];
    command: Extract<Command, { kind: K }>;
  },
) => Effect[];
