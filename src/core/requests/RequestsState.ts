import type { Exchange } from './Exchange.js';
import type { PendingCommand } from './PendingCommand.js';
import type { RequestCounts } from './RequestCounts.js';

/** Open requests and commands of a gateway. */
export interface RequestsState {
  /** Open requests of callers, by request id. */
  exchanges: Map<string, Exchange>;
  /** Commands that await answers, by request id. */
  pendingCommands: Map<string, PendingCommand>;
  /**
   * Requests and retries counted in the current window of the retry budget; `windowStartAt` is the
   * monotonic time of its start.
   */
  retryBudget: { windowStartAt: number; requests: number; retries: number };
  /** Request counts since the last flush, by workspace. */
  usageCounts: Map<string, RequestCounts>;
  /** Monotonic time at which `usageCounts` are next flushed. */
  nextFlushAt: number;
}
