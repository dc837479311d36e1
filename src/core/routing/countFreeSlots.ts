import type { State } from '../State.js';
import { getWorkerLoad } from './getWorkerLoad.js';

/** Counts the slots of a worker that are used by neither requests nor tasks. */
export const countFreeSlots = (state: State, workerId: string): number => {
  const slots = state.settings.inForce?.tree.zones[state.self.zone]?.workers[workerId]?.slots ?? 0;
  const load = getWorkerLoad(state, workerId);
  const slotsOfTasks = state.jobs.usedByWorker.get(workerId) ?? 0;
  return slots - slotsOfTasks - load.grantedAttempts.size - load.inheritedAttempts.size;
};
