import type { ScenarioAction } from './ScenarioAction.js';

/** Steps of a day that bring work. */
export const submissionKinds: readonly ScenarioAction['kind'][] = [
  'submit',
  'submitGang',
  'submitSteps',
  'submitTimed',
  'submitSaving',
  'submitApart',
  'submitLabelled',
  'submitLasting',
];
