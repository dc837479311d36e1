import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import { copyKey } from './copyKey.js';
import { sendToZone } from './sendToZone.js';

const isDefined = <T>(value: T | undefined): value is T => value !== undefined;

/**
 * Sends the keys and jobs changed since the last copy to the schedulers of the zone.
 * Cost: O(changes × schedulers of the zone).
 */
export const replicateChanges = (state: State, at: number): Effect[] => {
  const { replication, routing, jobs, timing } = state;
  replication.nextCopyAt = at + timing.heartbeatEveryMs;
  const content = {
    keys: [...replication.changedKeys]
      .map((id) => routing.keys.get(id))
      .filter(isDefined)
      .map(copyKey),
    freedKeys: [...replication.freedKeys],
    jobs: [...replication.changedJobs].map((id) => jobs.jobs.get(id)).filter(isDefined),
    complete: true,
  };
  replication.changedKeys.clear();
  replication.freedKeys.clear();
  replication.changedJobs.clear();
  return sendToZone(state, content);
};
