import type { State } from '../State.js';
import type { Worker } from './Worker.js';

// Heartbeats from a worker's last answer to the removal of its entry. A worker that is cut off is
// removed two heartbeats after the cut at the soonest: three are missing then, the first by the cut.
const maxHeartbeatsToRemoval = 4 / 3;

/**
 * Whether a worker has left: it announced that, and its entry was removed right after its last answer.
 * One that falls silent for longer before that may run on behind a cut.
 */
export const hasLeft = (
  { bounds }: State,
  { draining: leaving, failedPolls: failures, removedAt, lastListedAt }: Worker,
): boolean => {
  if (!leaving || failures === 0 || removedAt === null) return false;
  const silentMs = removedAt - lastListedAt;
  return silentMs >= 0 && silentMs <= bounds.heartbeatMs * maxHeartbeatsToRemoval;
};
