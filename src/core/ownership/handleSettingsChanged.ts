import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { loseWorker } from './loseWorker.js';
import { releaseWorker } from './releaseWorker.js';
import type { WorkerLease } from './WorkerLease.js';

const createLease = (workerId: string): WorkerLease => ({
  workerId,
  status: 'notHeld',
  renewalSentAt: -Infinity,
  callSentAt: null,
  nextCallAt: 0,
  claimableSince: null,
  incarnation: null,
  leaving: false,
  soleHolder: false,
});

const removeLease = (state: State, lease: WorkerLease, at: number): Effect[] => {
  const effects =
    lease.status === 'held'
      ? [...releaseWorker(state, lease, at), ...loseWorker(lease, 'no longer registered')]
      : [];
  state.ownership.leases.delete(lease.workerId);
  return effects;
};

/**
 * Adds and removes leases so that they match the registered workers of the zone. O(workers of the
 * zone).
 */
export const handleSettingsChanged = (
  state: State,
  event: EventOf<'settingsChanged'>,
): Effect[] => {
  if (state.self.role !== 'scheduler') return [];
  const { ownership } = state;
  const workers = event.snapshot.tree.zones[state.self.zone]?.workers ?? {};
  const registeredIds = Object.keys(workers);
  if (registeredIds.length === 0) ownership.lastWithoutWorkersAt = event.at;
  const unregistered = [...ownership.leases.values()].filter(
    (lease) => !(lease.workerId in workers),
  );
  const effects = unregistered.flatMap((lease) => removeLease(state, lease, event.at));
  registeredIds
    .filter((workerId) => !ownership.leases.has(workerId))
    .forEach((workerId) => ownership.leases.set(workerId, createLease(workerId)));
  return effects;
};
