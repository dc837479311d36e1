import type { Command } from '../commands/Command.js';
import type { NodeId } from '../NodeId.js';

/** A command passed on, whose answers are awaited. */
export interface PendingCommand {
  requestId: string;
  kind: Command['kind'];
  deadlineAt: number;
  /** Whether the command may have taken effect although no answer came. */
  mutates: boolean;
  /** Nodes that have not answered yet. */
  awaitedNodes: Set<NodeId>;
  /** Data of each node that answered, by zone; merged when all have. */
  answersByZone: Record<string, unknown>;
}
