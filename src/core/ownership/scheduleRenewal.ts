import type { State } from '../State.js';

/** Schedules the renewal of a held worker for the next tick instead of the end of the interval. */
export const scheduleRenewal = (state: State, workerId: string, at: number): void => {
  const lease = state.ownership.leases.get(workerId);
  if (lease?.status === 'held') lease.nextCallAt = Math.min(lease.nextCallAt, at);
};
