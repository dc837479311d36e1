import type { State } from '../State.js';
import type { Exchange } from './Exchange.js';
import type { RequestCounts } from './RequestCounts.js';

/** Adds one ended attempt to its workspace's usage counts. */
export const countUsage = (
  state: State,
  exchange: Exchange,
  outcome: 'answered' | 'failed' | 'unknown',
  at: number,
): void => {
  const { usageCounts } = state.requests;
  const workspaceCounts: RequestCounts = usageCounts.get(exchange.workspace) ?? {
    answered: 0,
    failed: 0,
    unknown: 0,
    busyMs: 0,
  };
  workspaceCounts[outcome] += 1;
  workspaceCounts.busyMs += at - exchange.dispatchedAt;
  usageCounts.set(exchange.workspace, workspaceCounts);
};
