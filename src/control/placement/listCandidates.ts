import type { Now } from '../Now.js';
import type { Worker } from '../workers/Worker.js';
import { isStarved } from './isStarved.js';
import type { PlacementPass } from './PlacementPass.js';
import type { PlacementUnit } from './PlacementUnit.js';

// Below this share of accelerators in use, reserved workers are open to every task.
const busyShare = 0.5;

/** Checkpointing tasks may use reserved workers, because preempting them loses little work. */
const mayUseUrgentWorkers = (unit: PlacementUnit): boolean =>
  unit.plan.priority === 0 || unit.step.definition.checkpointing;

/** Lists the workers that match the unit's service, label and access to reserved workers. */
export const listCandidates = (pass: PlacementPass, unit: PlacementUnit, now: Now): Worker[] => {
  const { requiredLabel } = unit.step.definition;
  const workers = pass.workersByService.get(unit.plan.submission.service) ?? [];
  const isBusy = pass.usedGpu >= pass.totalGpu * busyShare;
  const mayUseAny = !isBusy || mayUseUrgentWorkers(unit) || isStarved(pass, unit, now);
  return workers.filter(
    ({ id, entry }) =>
      (mayUseAny || !pass.urgentWorkerIds.has(id)) &&
      (requiredLabel === '' || entry?.labels.includes(requiredLabel) === true),
  );
};
