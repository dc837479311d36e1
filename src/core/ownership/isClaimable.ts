import type { State } from '../State.js';
import type { WorkerReport } from './WorkerReport.js';

/** Tells whether nobody else can hold a worker that was last renewed as reported. */
export const isClaimable = (state: State, report: WorkerReport, marginMs: number): boolean => {
  const { ageMs, released } = report.lastRenewal;
  // This process's own name proves nothing: a claim that it lost, or a renewal that arrived late,
  // has put that name over the holder's.
  return released || ageMs > state.timing.holderLeaseMs + marginMs;
};
