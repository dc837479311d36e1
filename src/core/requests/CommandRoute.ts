import type { AccessTarget } from '../access/AccessTarget.js';
import type { Principal } from '../access/Principal.js';
import type { Command } from '../commands/Command.js';
import type { CommandResult } from '../commands/CommandResult.js';
import type { NodeId } from '../NodeId.js';
import type { RefusalReason } from '../RefusalReason.js';
import type { State } from '../State.js';
import type { AnswerMerge } from './AnswerMerge.js';

/** How a gateway treats one kind of command. */
export interface CommandRoute<K extends Command['kind']> {
  /** What a token must open. */
  getAccessTarget: (command: Extract<Command, { kind: K }>) => AccessTarget;
  /** Completes the command with the zone that decides it. */
  resolveZone: (state: State, command: Extract<Command, { kind: K }>) => Command;
  findTargets: (state: State, command: Extract<Command, { kind: K }>, at: number) => NodeId[];
  /** Answers without asking another daemon, where the gateway itself has what is needed. */
  answerLocally?: (state: State, principal: Principal) => CommandResult;
  /** Why the command is refused while nobody can decide it. */
  refusalWithoutTarget: RefusalReason;
  merge: AnswerMerge;
  /** Whether the command changes anything, so that a missing answer leaves its outcome unknown. */
  mutates: boolean;
}
