import type { ScenarioAction } from './ScenarioAction.js';
import { submissionKinds } from './submissionKinds.js';

/** What callers and operators do; a day with nothing else has no trouble. */
export const faultFreeKinds: readonly ScenarioAction['kind'][] = [
  ...submissionKinds,
  'cancel',
  'changeConfig',
];
