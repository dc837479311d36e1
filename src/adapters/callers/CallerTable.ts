import type { Attempt } from './Attempt.js';
import type { Caller } from './Caller.js';

/** Open requests of a gateway and their attempts, by id. */
export interface CallerTable {
  callers: Map<string, Caller>;
  attempts: Map<string, Attempt>;
}
