import type { ScenarioAction } from './ScenarioAction.js';

/** Steps that submit a job. */
export const submissionKinds: readonly ScenarioAction['kind'][] = [
  'submit',
  'submitGang',
  'submitSteps',
  'submitScheduled',
  'submitCheckpointing',
  'submitSpread',
  'submitLabelled',
  'submitLongRunning',
];
