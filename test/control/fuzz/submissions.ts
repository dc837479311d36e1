import type { FaultAction } from './FaultAction.js';

/** Steps of a day that bring work. */
export const submissions: readonly FaultAction['kind'][] = [
  'submit',
  'submitGang',
  'submitSteps',
  'submitTimed',
  'submitSaving',
  'submitApart',
  'submitLabelled',
  'submitLasting',
];
