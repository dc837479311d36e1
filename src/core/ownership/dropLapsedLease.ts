import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import { isWorkerHeld } from './isWorkerHeld.js';
import { loseWorker } from './loseWorker.js';
import type { WorkerLease } from './WorkerLease.js';

/** Drops a lease that has lapsed, for example while this process was suspended. */
export const dropLapsedLease = (state: State, lease: WorkerLease, at: number): Effect[] =>
  lease.status === 'held' && !isWorkerHeld(state, lease.workerId, at)
    ? [{ type: 'count', name: 'lease_lapsed' }, ...loseWorker(lease, 'lease lapsed')]
    : [];
