import type { CallerEffect } from './callers/CallerEffect.js';
import type { LogFields } from './LogFields.js';
import type { StreamEffect } from './streams/StreamEffect.js';
import type { WorkerEffect } from './workers/WorkerEffect.js';

/** A side effect of the daemon, as data; adapters carry it out after `reduce` has returned. */
export type Effect =
  | CallerEffect
  | StreamEffect
  | WorkerEffect
  /** Increments a counter, labelled with the reason. */
  | { type: 'count'; name: string; reason: string }
  /** Adds a duration to a histogram. */
  | { type: 'observe'; name: string; ms: number }
  | {
      type: 'log';
      level: 'debug' | 'info' | 'warn' | 'error';
      /** Stable event code, listed in docs/OPERATIONS.md. */
      code: string;
      fields: LogFields;
    }
  /** Ends the process. */
  | { type: 'exit' };
