import type { Worker } from '../workers/Worker.js';
import type { Pass } from './Pass.js';
import type { Unit } from './Unit.js';

/** Workers on which the unit may run by service, label and whole capacity. */
export const listCandidates = (pass: Pass, unit: Unit): Worker[] => {
  const { requiredLabel } = unit.step.step;
  const workers = pass.workersByService.get(unit.plan.submission.service) ?? [];
  if (requiredLabel === '') return workers;
  return workers.filter(({ entry }) => entry?.labels.includes(requiredLabel));
};
