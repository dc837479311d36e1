import type { Command } from '../commands/Command.js';
import type { AttemptPhase } from './AttemptPhase.js';

/** Events of the gateway's callers and of its attempts on workers. */
export type RequestEvent =
  | {
      type: 'callerRequested';
      requestId: string;
      /** SHA-256 hash of the caller's token, in hexadecimal. */
      tokenHash: string;
      workspace: string;
      requestClass: string;
      idempotent: boolean;
      idempotencyKey?: string;
      /** Time from arrival to the caller's deadline. */
      timeoutMs: number;
      /** Whether the adapter kept the body, so that another attempt can send it again. */
      replayable: boolean;
    }
  /** The caller disconnected before the answer ended. */
  | { type: 'callerGone'; requestId: string }
  /** The first byte of the request was written. */
  | { type: 'attemptSent'; requestId: string; attemptId: string }
  /** The headers of the worker's answer have arrived. */
  | { type: 'attemptHeaders'; requestId: string; attemptId: string; status: number }
  /** The whole answer was passed to the caller. */
  | { type: 'attemptEnded'; requestId: string; attemptId: string }
  | {
      type: 'attemptFailed';
      requestId: string;
      attemptId: string;
      phase: AttemptPhase;
      error: string;
    }
  | { type: 'commandRequested'; requestId: string; tokenHash: string; command: Command };
