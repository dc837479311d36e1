import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import { isHeld } from './isHeld.js';
import { loseWorker } from './loseWorker.js';
import type { WorkerLease } from './WorkerLease.js';

/** Drops a lease that lapsed, for example while this process was paused. */
export const checkLapse = (state: State, lease: WorkerLease, at: number): Effect[] =>
  lease.status === 'held' && !isHeld(state, lease.workerId, at)
    ? [{ type: 'count', name: 'lease_lapsed' }, ...loseWorker(lease, 'lease lapsed')]
    : [];
