import type { HandlerTable } from '../HandlerTable.js';
import { updatePlan } from './updatePlan.js';

/** Handlers of the guarantees feature; the plan changes with the settings and the workers only. */
export const guaranteesHandlers: HandlerTable = {
  settingsChanged: updatePlan,
  workerClaimed: updatePlan,
  workerLost: updatePlan,
  workerRestarted: updatePlan,
};
