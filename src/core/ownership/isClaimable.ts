import type { State } from '../State.js';
import type { WorkerReport } from './WorkerReport.js';

/**
 * Tells whether a worker's report shows that no scheduler can hold it now: its lease was released,
 * or the last renewal is older than a lease plus a margin.
 */
export const isClaimable = (state: State, report: WorkerReport, marginMs: number): boolean => {
  const { ageMs, released } = report.lastRenewal;
  // The holder's name is not compared: a failed claim or a delayed renewal of this process may have
  // overwritten the actual holder's name with its own.
  return released || ageMs > state.timing.holderLeaseMs + marginMs;
};
