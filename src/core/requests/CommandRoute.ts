import type { AccessTarget } from '../access/AccessTarget.js';
import type { Principal } from '../access/Principal.js';
import type { Command } from '../commands/Command.js';
import type { CommandResult } from '../commands/CommandResult.js';
import type { NodeId } from '../NodeId.js';
import type { RefusalReason } from '../RefusalReason.js';
import type { State } from '../State.js';
import type { AnswerMerge } from './AnswerMerge.js';

/** How a gateway authorizes and routes one kind of command. */
export interface CommandRoute<K extends Command['kind']> {
  /** What the token must give access to. */
  getAccessTarget: (command: Extract<Command, { kind: K }>) => AccessTarget;
  /** Adds the zone that decides on the command, where the command needs one. */
  resolveZone: (state: State, command: Extract<Command, { kind: K }>) => Command;
  /** Finds the daemons that receive the command; empty if none is reachable. */
  findTargets: (state: State, command: Extract<Command, { kind: K }>, at: number) => NodeId[];
  /** Answers from the gateway's own state, without another daemon. */
  answerLocally?: (state: State, principal: Principal) => CommandResult;
  /** Reason of the refusal if `findTargets` finds no daemon. */
  refusalWithoutTarget: RefusalReason;
  merge: AnswerMerge;
  /** Whether the command changes state, so that its outcome is unknown without an answer. */
  mutates: boolean;
}
