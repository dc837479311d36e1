import type { Now } from '../Now.js';
import type { Worker } from '../workers/Worker.js';
import { isStarved } from './isStarved.js';
import type { PlacementPass } from './PlacementPass.js';
import type { PlacementUnit } from './PlacementUnit.js';

// Below this part of all accelerators in use, no room has to be kept from anyone.
const busyShare = 0.5;

/** Work that saves its state may use what is kept: it is stopped at little loss. */
const mayUseUrgentWorkers = (unit: PlacementUnit): boolean =>
  unit.plan.priority === 0 || unit.step.step.checkpointing;

/** Workers on which the unit may run by service, label and what is kept for urgent work. */
export const listCandidates = (pass: PlacementPass, unit: PlacementUnit, now: Now): Worker[] => {
  const { requiredLabel } = unit.step.step;
  const workers = pass.workersByService.get(unit.plan.submission.service) ?? [];
  const isBusy = pass.usedGpu >= pass.wholeGpu * busyShare;
  const mayUseAny = !isBusy || mayUseUrgentWorkers(unit) || isStarved(pass, unit, now);
  return workers.filter(
    ({ id, entry }) =>
      (mayUseAny || !pass.urgentWorkerIds.has(id)) &&
      (requiredLabel === '' || entry?.labels.includes(requiredLabel) === true),
  );
};
