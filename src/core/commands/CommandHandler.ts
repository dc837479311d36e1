import type { EventOf } from '../EventOf.js';
import type { Effect } from '../Effect.js';
import type { NodeId } from '../NodeId.js';
import type { State } from '../State.js';
import type { Command } from './Command.js';

/** Handles a command from a gateway; the result is sent back as a `commandResult` message. */
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
