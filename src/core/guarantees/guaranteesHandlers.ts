import type { HandlerTable } from '../HandlerTable.js';
import { updatePlan } from './updatePlan.js';

/** Event handlers of the guarantees feature; the plan depends on settings and workers only. */
export const guaranteesHandlers: HandlerTable = {
  settingsChanged: updatePlan,
  workerClaimed: updatePlan,
  workerLost: updatePlan,
  workerRestarted: updatePlan,
};
