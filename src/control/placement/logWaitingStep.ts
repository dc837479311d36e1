import type { Effect } from '../Effect.js';
import type { Worker } from '../workers/Worker.js';
import type { PlacementPass } from './PlacementPass.js';
import type { PlacementUnit } from './PlacementUnit.js';

/** Logs once per step that its tasks do not fit, with the inputs of that decision. */
export const logWaitingStep = (
  pass: PlacementPass,
  unit: PlacementUnit,
  workers: readonly Worker[],
): Effect[] => {
  if (unit.step.waitLogged) return [];
  unit.step.waitLogged = true;
  const { need, gang, sameRack, requiredLabel } = unit.step.definition;
  const fields = {
    requestId: unit.plan.id,
    step: unit.step.index,
    tasks: unit.tasks.length,
    gpu: need.gpu,
    gang,
    sameRack,
    requiredLabel,
    guaranteed: unit.guaranteed,
    slackMs: Math.round(unit.slackMs),
    candidates: workers.length,
    usedGpu: pass.usedGpu,
    wholeGpu: pass.totalGpu,
  };
  return [{ type: 'log', level: 'info', code: 'step_waiting', fields }];
};
