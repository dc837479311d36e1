import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { isWorkerHeld } from './isWorkerHeld.js';
import { loseWorker } from './loseWorker.js';
import { releaseWorker } from './releaseWorker.js';
import { updateLead } from './updateLead.js';

/** Releases every held worker, so that a successor can claim them before the leases lapse. */
export const handleShutdownRequested = (
  state: State,
  event: EventOf<'shutdownRequested'>,
): Effect[] => {
  const heldLeases = [...state.ownership.leases.values()].filter((lease) =>
    isWorkerHeld(state, lease.workerId, event.at),
  );
  return [
    ...heldLeases.flatMap((lease) => [
      ...releaseWorker(state, lease, event.at),
      ...loseWorker(lease, 'shutdown'),
    ]),
    ...updateLead(state, event.at),
  ];
};
