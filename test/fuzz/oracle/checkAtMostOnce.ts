import type { Simulation } from '../simulation/Simulation.js';
import type { Property } from './Property.js';

// Retention of a key, less 2% for the rates of the clocks.
const keyRetentionMs = 294_000;

const findIdentity = ({ history }: Simulation, requestId: string): string | null => {
  const caller = history.callers.get(requestId);
  if (!caller || caller.idempotent) return null;
  return caller.key === null ? requestId : `${caller.workspace}/${caller.key}`;
};

/** P5: a non-idempotent request, and a key within its retention, runs at most once. */
export const checkAtMostOnce: Property = (simulation) => {
  const lastRuns = new Map<string, { requestId: string; at: number }>();
  for (const { requestId, at, workerId } of simulation.history.requestRuns) {
    const identity = findIdentity(simulation, requestId);
    const earlier = identity === null ? undefined : lastRuns.get(identity);
    if (earlier && (earlier.requestId === requestId || at - earlier.at < keyRetentionMs)) {
      return `${identity} ran again at ${workerId}, first as ${earlier.requestId}, now as ${requestId}`;
    }
    if (identity !== null) lastRuns.set(identity, { requestId, at });
  }
  return null;
};
