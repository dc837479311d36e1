import { isHeld } from '../ownership/isHeld.js';
import { isWorkerLeaving } from '../routing/isWorkerLeaving.js';
import type { State } from '../State.js';
import { countRequests } from './countRequests.js';
import type { GangHold } from './GangHold.js';
import type { WorkerView } from './WorkerView.js';

const addHold = (views: Map<string, WorkerView>, hold: GangHold): void => {
  hold.workers.forEach((workerId) => {
    const view = views.get(workerId);
    if (!view) return;
    const usedBy = new Map(view.usedBy);
    usedBy.set(hold.workspace, (usedBy.get(hold.workspace) ?? 0) + hold.acceleratorsPerTask);
    views.set(workerId, { ...view, usedBy, used: view.used + hold.acceleratorsPerTask });
  });
};

/**
 * Collects the capacity of the workers on which gangs may start now: held, not leaving, not
 * drained and not avoided. Cost: O(workers of the zone + parts of reclaiming jobs).
 */
export const buildWorkerViews = (state: State, at: number): Map<string, WorkerView> => {
  const { jobs, guarantees } = state;
  const workers = state.settings.inForce?.tree.zones[state.self.zone]?.workers ?? {};
  const views = new Map<string, WorkerView>();
  Object.entries(workers).forEach(([workerId, worker]) => {
    const avoidUntil = jobs.faultsByWorker.get(workerId)?.avoidUntil ?? -Infinity;
    if (isWorkerLeaving(state, workerId)) return;
    if (avoidUntil > at || !isHeld(state, workerId, at)) return;
    views.set(workerId, {
      workerId,
      rack: worker.rack,
      accelerators: worker.accelerators,
      slots: worker.slots,
      requests: countRequests(state, workerId),
      used: jobs.acceleratorsByWorker.get(workerId) ?? 0,
      usedBy: jobs.useByWorker.get(workerId) ?? new Map<string, number>(),
      cellsBy: guarantees.cellsByWorker.get(workerId) ?? new Map<string, number>(),
    });
  });
  jobs.holds.forEach((hold) => addHold(views, hold));
  return views;
};
