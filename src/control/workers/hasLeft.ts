import type { State } from '../State.js';
import type { Worker } from './Worker.js';

// Longest time from the last answer of a worker that leaves to the removal of its registry entry, in
// heartbeat intervals. The entry of a partitioned worker is removed two intervals after the partition
// at the earliest: it takes three missed heartbeats, and the first may be due right at the partition.
const maxHeartbeatsToRemoval = 4 / 3;

/**
 * Whether a worker has left: it was draining, and its entry was removed soon after its last answer. If
 * it was silent for longer before the removal, it may still run tasks behind a network partition.
 */
export const hasLeft = (
  { bounds }: State,
  { draining, failedPolls, removedAt, lastListedAt }: Worker,
): boolean => {
  if (!draining || failedPolls === 0 || removedAt === null) return false;
  const silentMs = removedAt - lastListedAt;
  return silentMs >= 0 && silentMs <= bounds.heartbeatMs * maxHeartbeatsToRemoval;
};
