import fc from 'fast-check';
import { faultFreeKinds } from './faultFreeKinds.js';
import type { ScenarioAction } from './ScenarioAction.js';
import { submissionKinds } from './submissionKinds.js';

const kinds: ScenarioAction['kind'][] = [
  ...faultFreeKinds,
  'kill',
  'freeze',
  'terminate',
  'cutStore',
  'cutWorkers',
  'storeDown',
  'answersLost',
  'ordersLate',
  'crashWorker',
  'rebirth',
  'cutWorkerOff',
  'drainWorker',
  'failWorker',
];

const createScenarios = (
  kind: fc.Arbitrary<ScenarioAction['kind']>,
): fc.Arbitrary<ScenarioAction[]> =>
  fc.array(
    fc.record({
      kind,
      afterMs: fc.integer({ min: 0, max: 1200 }),
      target: fc.integer({ min: 0, max: 11 }),
      durationMs: fc.integer({ min: 100, max: 5000 }),
    }),
    { minLength: 5, maxLength: 30 },
  );

/** Random days: calm ones, and ones on which faults overlap; at least half of their steps bring work. */
export const scenarioArbitrary = {
  calm: createScenarios(fc.constantFrom(...faultFreeKinds)),
  troubled: createScenarios(
    fc.oneof(fc.constantFrom(...submissionKinds), fc.constantFrom(...kinds)),
  ),
};
