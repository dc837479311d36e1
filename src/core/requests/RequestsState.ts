import type { Exchange } from './Exchange.js';
import type { PendingCommand } from './PendingCommand.js';
import type { RequestCounts } from './RequestCounts.js';

/** Open requests and commands of a gateway. */
export interface RequestsState {
  exchanges: Map<string, Exchange>;
  pendingCommands: Map<string, PendingCommand>;
  /** Counts of the current retry-budget window. */
  retryBudget: { windowStartAt: number; requests: number; retries: number };
  /** Usage of short requests not yet handed to the recorder, by workspace. */
  usageCounts: Map<string, RequestCounts>;
  nextFlushAt: number;
}
