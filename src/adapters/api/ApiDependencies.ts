import type { CommandResult } from '../../core/commands/CommandResult.js';
import type { RefusalReason } from '../../core/RefusalReason.js';
import type { UntimedEvent } from '../../core/UntimedEvent.js';

/** What the routes of the control API need from the gateway. */
export interface ApiDependencies {
  /** Passes an event to the core. */
  push: (event: UntimedEvent) => void;
  /** Resolves with the result of a command; must be called before the command is pushed. */
  waitForCommandResult: (requestId: string) => Promise<CommandResult>;
  /** Counts refusals of malformed requests, which do not reach the core. */
  countRefusal: (reason: RefusalReason) => void;
}
