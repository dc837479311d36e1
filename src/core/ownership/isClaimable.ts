import type { State } from '../State.js';
import { getHolderName } from './getHolderName.js';
import type { WorkerReport } from './WorkerReport.js';

/** Tells whether nobody else can hold a worker that was last renewed as reported. */
export const isClaimable = (state: State, report: WorkerReport, marginMs: number): boolean => {
  const { holder, ageMs, released } = report.lastRenewal;
  return (
    released ||
    holder === getHolderName(state.self) ||
    ageMs > state.timing.holderLeaseMs + marginMs
  );
};
