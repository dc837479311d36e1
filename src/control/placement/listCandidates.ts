import type { Now } from '../Now.js';
import type { Worker } from '../workers/Worker.js';
import { isStarved } from './isStarved.js';
import type { Pass } from './Pass.js';
import type { Unit } from './Unit.js';

// Below this part of all accelerators in use, no room has to be kept from anyone.
const busyPart = 0.5;

/** Work that saves its state may use what is kept: it is stopped at little loss. */
const mayUseKept = (unit: Unit): boolean =>
  unit.plan.priority === 0 || unit.step.step.checkpointing;

/** Workers on which the unit may run by service, label and what is kept for urgent work. */
export const listCandidates = (pass: Pass, unit: Unit, now: Now): Worker[] => {
  const { requiredLabel } = unit.step.step;
  const workers = pass.workersByService.get(unit.plan.submission.service) ?? [];
  const busy = pass.usedGpu >= pass.wholeGpu * busyPart;
  const all = !busy || mayUseKept(unit) || isStarved(pass, unit, now);
  return workers.filter(
    ({ id, entry }) =>
      (all || !pass.kept.has(id)) &&
      (requiredLabel === '' || entry?.labels.includes(requiredLabel) === true),
  );
};
