import type { Command } from '../commands/Command.js';
import type { AttemptPhase } from './AttemptPhase.js';

/** Events of the gateway's callers and of its attempts at workers. */
export type RequestEvent =
  | {
      type: 'callerRequested';
      requestId: string;
      tokenHash: string;
      workspace: string;
      requestClass: string;
      idempotent: boolean;
      idempotencyKey?: string;
      timeoutMs: number;
      /** Whether the adapter kept the body, so that another attempt can send it again. */
      replayable: boolean;
    }
  | { type: 'callerGone'; requestId: string }
  | { type: 'attemptSent'; requestId: string; attemptId: string }
  | { type: 'attemptHeaders'; requestId: string; attemptId: string; status: number }
  | { type: 'attemptEnded'; requestId: string; attemptId: string }
  | {
      type: 'attemptFailed';
      requestId: string;
      attemptId: string;
      phase: AttemptPhase;
      error: string;
    }
  | { type: 'commandRequested'; requestId: string; tokenHash: string; command: Command };
