import type { CommandResult } from './commands/CommandResult.js';
import type { CounterName } from './CounterName.js';
import type { GaugeName } from './GaugeName.js';
import type { LogStream } from './log/LogStream.js';
import type { Message } from './Message.js';
import type { NodeId } from './NodeId.js';
import type { WorkerCall } from './ownership/WorkerCall.js';
import type { Refusal } from './Refusal.js';
import type { RefusalReason } from './RefusalReason.js';
import type { RetryReason } from './RetryReason.js';
import type { UntimedEvent } from './UntimedEvent.js';

/** A side effect requested by `reduce`; adapters execute it after `reduce` has returned. */
export type Effect =
  /** A derived event, which `reduce` processes before it returns. */
  | { type: 'emit'; event: UntimedEvent }
  | { type: 'send'; to: NodeId; message: Message }
  | { type: 'callWorker'; workerId: string; url: string; call: WorkerCall }
  /** `after` is the sequence number of the last usage entry already read. */
  | { type: 'readWorkerUsage'; workerId: string; url: string; after: number }
  | { type: 'dispatchAttempt'; requestId: string; attemptId: string; url: string }
  | { type: 'relayAnswer'; requestId: string; attemptId: string; closeConnection: boolean }
  | { type: 'abortAttempt'; requestId: string; attemptId: string }
  | { type: 'refuseCaller'; requestId: string; refusal: Refusal; closeConnection: boolean }
  /** Resets the caller's connection, because part of the response was already sent. */
  | { type: 'resetCaller'; requestId: string }
  | { type: 'answerCommand'; requestId: string; result: CommandResult }
  | { type: 'setReady'; ready: boolean }
  | { type: 'closeListener' }
  | { type: 'appendLog'; appendId: string; stream: LogStream; records: unknown[] }
  | {
      type: 'readLog';
      readId: string;
      stream: LogStream;
      fromOffset: number;
      limit: number;
      /** Longest time that the log may wait for a record before it answers. */
      waitMs: number;
    }
  | { type: 'countRefusal'; reason: RefusalReason }
  | { type: 'countRetry'; reason: RetryReason }
  | { type: 'count'; name: CounterName }
  | { type: 'gauge'; name: GaugeName; value: number }
  | {
      type: 'log';
      level: 'debug' | 'info' | 'warn' | 'error';
      /** Stable code, listed in docs/operate. */
      code: string;
      fields: Record<string, unknown>;
    }
  | { type: 'exit' };
