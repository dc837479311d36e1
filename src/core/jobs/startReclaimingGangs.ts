import type { Effect } from '../Effect.js';
import { isWorkerHeld } from '../ownership/isWorkerHeld.js';
import { isWorkerLeaving } from '../routing/isWorkerLeaving.js';
import type { State } from '../State.js';
import { countRequestSlots } from './countRequestSlots.js';
import type { EventTime } from './EventTime.js';
import type { ReclaimHold } from './ReclaimHold.js';
import { reclaimGraceMs } from './reclaimGraceMs.js';
import { startGang } from './startGang.js';

const isFree = (state: State, hold: ReclaimHold, workerId: string, at: number): boolean => {
  const worker = state.settings.inForce?.tree.zones[state.self.zone]?.workers[workerId];
  if (!worker) return false;
  const needed = hold.workers.filter((id) => id === workerId).length * hold.acceleratorsPerTask;
  const usedAfterStart = (state.jobs.usedByWorker.get(workerId) ?? 0) + needed;
  const isInGracePeriod = at < hold.startedAt + reclaimGraceMs;
  const requests = isInGracePeriod ? countRequestSlots(state, workerId) : 0;
  return usedAfterStart <= worker.accelerators && usedAfterStart + requests <= worker.slots;
};

const isUsable = (state: State, workerId: string, at: number): boolean =>
  isWorkerHeld(state, workerId, at) && !isWorkerLeaving(state, workerId);

/**
 * Starts the gangs whose reclaimed capacity has become free. If one of the workers is no longer
 * usable, the capacity is released and the job is placed anew.
 * Cost: O(parts of the reclaiming jobs).
 */
export const startReclaimingGangs = (state: State, event: EventTime): Effect[] => {
  const effects: Effect[] = [];
  state.jobs.reclaimHolds.forEach((hold, jobId) => {
    const job = state.jobs.jobs.get(jobId);
    const workers = [...new Set(hold.workers)];
    if (!job || !workers.every((id) => isUsable(state, id, event.at))) {
      state.jobs.reclaimHolds.delete(jobId);
    } else if (workers.every((id) => isFree(state, hold, id, event.at))) {
      const placements = hold.workers.map((workerId) => ({ workerId, borrowed: false }));
      effects.push(...startGang(state, job, placements, event));
    }
  });
  return effects;
};
