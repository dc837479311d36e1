import type { HandlerTable } from '../HandlerTable.js';
import { handleLeadChanged } from './handleLeadChanged.js';
import { handleSettingsChanged } from './handleSettingsChanged.js';
import { handleTaskAnswered } from './handleTaskAnswered.js';
import { handleTaskCallFailed } from './handleTaskCallFailed.js';
import { handleTick } from './handleTick.js';
import { handleWorkerClaimed } from './handleWorkerClaimed.js';
import { handleWorkerLost } from './handleWorkerLost.js';
import { handleWorkerRenewed } from './handleWorkerRenewed.js';
import { handleWorkerRestarted } from './handleWorkerRestarted.js';
import { withPlacement } from './withPlacement.js';

/** Event handlers of the jobs feature; a placement pass follows an event if it is needed. */
export const jobsHandlers: HandlerTable = {
  tick: withPlacement(handleTick),
  settingsChanged: withPlacement(handleSettingsChanged),
  leadChanged: withPlacement(handleLeadChanged),
  workerClaimed: withPlacement(handleWorkerClaimed),
  workerRenewed: withPlacement(handleWorkerRenewed),
  workerLost: withPlacement(handleWorkerLost),
  workerRestarted: withPlacement(handleWorkerRestarted),
  taskAnswered: withPlacement(handleTaskAnswered),
  taskCallFailed: withPlacement(handleTaskCallFailed),
};
