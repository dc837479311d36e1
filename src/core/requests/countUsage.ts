import type { State } from '../State.js';
import type { Exchange } from './Exchange.js';
import type { RequestCounts } from './RequestCounts.js';

/** Adds one ended attempt to the workspace's usage counts. */
export const countUsage = (
  state: State,
  exchange: Exchange,
  outcome: 'answered' | 'failed' | 'unknown',
  at: number,
): void => {
  const { usageCounts: counts } = state.requests;
  const entry: RequestCounts = counts.get(exchange.workspace) ?? {
    answered: 0,
    failed: 0,
    unknown: 0,
    busyMs: 0,
  };
  entry[outcome] += 1;
  entry.busyMs += at - exchange.dispatchedAt;
  counts.set(exchange.workspace, entry);
};
