import { isWorkerHeld } from '../ownership/isWorkerHeld.js';
import { isWorkerLeaving } from '../routing/isWorkerLeaving.js';
import type { State } from '../State.js';
import { countRequestSlots } from './countRequestSlots.js';
import type { ReclaimHold } from './ReclaimHold.js';
import type { WorkerView } from './WorkerView.js';

const addHold = (views: Map<string, WorkerView>, hold: ReclaimHold): void => {
  hold.workers.forEach((workerId) => {
    const view = views.get(workerId);
    if (!view) return;
    const usedOnWorker = new Map(view.usedByWorkspace);
    usedOnWorker.set(
      hold.workspace,
      (usedOnWorker.get(hold.workspace) ?? 0) + hold.acceleratorsPerTask,
    );
    views.set(workerId, {
      ...view,
      usedByWorkspace: usedOnWorker,
      usedAccelerators: view.usedAccelerators + hold.acceleratorsPerTask,
    });
  });
};

/**
 * Builds the views of the workers on which gangs may start now: held, not leaving, not drained, and
 * not avoided because of failures. Cost: O(workers of the zone + parts of reclaiming jobs).
 */
export const buildWorkerViews = (state: State, at: number): Map<string, WorkerView> => {
  const { jobs, guarantees } = state;
  const workers = state.settings.inForce?.tree.zones[state.self.zone]?.workers ?? {};
  const views = new Map<string, WorkerView>();
  Object.entries(workers).forEach(([workerId, worker]) => {
    const avoidUntil = jobs.failuresByWorker.get(workerId)?.avoidUntil ?? -Infinity;
    if (isWorkerLeaving(state, workerId)) return;
    if (avoidUntil > at || !isWorkerHeld(state, workerId, at)) return;
    views.set(workerId, {
      workerId,
      rack: worker.rack,
      accelerators: worker.accelerators,
      slots: worker.slots,
      requestSlots: countRequestSlots(state, workerId),
      usedAccelerators: jobs.usedByWorker.get(workerId) ?? 0,
      usedByWorkspace: jobs.usedByWorkerAndWorkspace.get(workerId) ?? new Map<string, number>(),
      guaranteedByWorkspace:
        guarantees.guaranteedByWorker.get(workerId) ?? new Map<string, number>(),
    });
  });
  jobs.reclaimHolds.forEach((hold) => addHold(views, hold));
  return views;
};
