import fc from 'fast-check';
import { faultFreeKinds } from './faultFreeKinds.js';
import type { ScenarioAction } from './ScenarioAction.js';
import { submissionKinds } from './submissionKinds.js';

const kinds: ScenarioAction['kind'][] = [
  ...faultFreeKinds,
  'killVm',
  'suspendVm',
  'terminateVm',
  'partitionFromStore',
  'partitionFromWorkers',
  'refuseStoreCalls',
  'loseAppendAnswers',
  'delayWorkerCalls',
  'crashWorker',
  'restartWorker',
  'partitionWorker',
  'cutZone',
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

/** Random scenarios without and with faults; with faults, more than half of the steps submit jobs on average. */
export const scenarioArbitrary = {
  faultFree: createScenarios(fc.constantFrom(...faultFreeKinds)),
  withFaults: createScenarios(
    fc.oneof(fc.constantFrom(...submissionKinds), fc.constantFrom(...kinds)),
  ),
};
