import type { Command } from '../commands/Command.js';
import type { NodeId } from '../NodeId.js';

/** A forwarded command that awaits answers. */
export interface PendingCommand {
  requestId: string;
  kind: Command['kind'];
  /** Monotonic time after which the command fails. */
  deadlineAt: number;
  /** Whether the command changes state, so that its outcome is unknown without an answer. */
  mutates: boolean;
  /** Nodes that have not answered yet. */
  awaitedNodes: Set<NodeId>;
  /** Data of the nodes that have answered, by zone; merged when all have. */
  answersByZone: Record<string, unknown>;
}
