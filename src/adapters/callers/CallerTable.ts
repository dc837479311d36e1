import type { Attempt } from './Attempt.js';
import type { Caller } from './Caller.js';

/** Open connections of a gateway. */
export interface CallerTable {
  callers: Map<string, Caller>;
  attempts: Map<string, Attempt>;
}
