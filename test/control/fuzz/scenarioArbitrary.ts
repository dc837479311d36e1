import fc from 'fast-check';
import { cancelKinds } from './cancelKinds.js';
import { faultFreeKinds } from './faultFreeKinds.js';
import type { ScenarioAction } from './ScenarioAction.js';
import { registryKinds } from './registryKinds.js';
import { submissionKinds } from './submissionKinds.js';

type Kind = ScenarioAction['kind'];

/** Jobs whose progress outgrows a record of a store with small limits. */
const largeKinds: Kind[] = ['submitMany', 'submitManyGang', 'submitManyScheduled'];

/** Faults that come between a cancel and the leader's stops. */
const kindsBesideCancels: Kind[] = [
  'delayWorkerCalls',
  'refuseReads',
  'delayReads',
  'expireJournal',
  'delayAppends',
  'loseWorkerCalls',
  'killLeader',
  'suspendLeader',
  'terminateLeader',
  'partitionLeader',
  'refuseReadsOfLeader',
];

const kinds: Kind[] = [
  ...faultFreeKinds,
  ...kindsBesideCancels,
  'killVm',
  'suspendVm',
  'terminateVm',
  'partitionFromStore',
  'partitionFromWorkers',
  'refuseStoreCalls',
  'loseAppendAnswers',
  'crashWorker',
  'restartWorker',
  'partitionWorker',
  'cutZone',
  'drainWorker',
  'failWorker',
  'slowClocks',
  ...registryKinds,
];

const createAction = (
  kind: fc.Arbitrary<Kind>,
  afterMs: fc.Arbitrary<number>,
): fc.Arbitrary<ScenarioAction> =>
  fc.record({
    kind,
    afterMs,
    target: fc.integer({ min: 0, max: 11 }),
    durationMs: fc.integer({ min: 100, max: 5000 }),
  });

// Steps a few milliseconds apart overlap within one append or read; some seconds apart, they leave calm stretches.
const anyPause = fc.oneof(
  { weight: 4, arbitrary: fc.integer({ min: 0, max: 1200 }) },
  { weight: 3, arbitrary: fc.integer({ min: 0, max: 20 }) },
  { weight: 1, arbitrary: fc.integer({ min: 0, max: 8000 }) },
);

const createScenarios = (kind: fc.Arbitrary<Kind>): fc.Arbitrary<ScenarioAction[]> =>
  fc.array(createAction(kind, anyPause), { minLength: 5, maxLength: 30 });

const createSteps = (
  stepKinds: readonly Kind[],
  maxPauseMs: number,
  maxLength: number,
): fc.Arbitrary<ScenarioAction[]> =>
  fc.array(createAction(fc.constantFrom(...stepKinds), fc.integer({ min: 0, max: maxPauseMs })), {
    minLength: 1,
    maxLength,
  });

/** Scenarios in which many jobs are cancelled at once, some before they are submitted, beside one or two faults. */
const cancelStorms = fc
  .array(
    fc.tuple(
      createSteps(submissionKinds, 300, 8),
      createSteps(kindsBesideCancels, 600, 2),
      createSteps(cancelKinds, 600, 4),
      createSteps(submissionKinds, 2500, 2),
    ),
    { minLength: 1, maxLength: 3 },
  )
  .map((storms) => storms.flat(2));

const otherFaults = kinds.filter((kind) => ![...faultFreeKinds, ...registryKinds].includes(kind));

/** Scenarios in which the registry loses entries of workers that run long tasks, beside one or two other faults. */
const registryStorms = fc
  .array(
    fc.tuple(
      createSteps(['submitLong', 'submitCheckpointing', 'submitLongRunning', 'submit'], 300, 4),
      createSteps(registryKinds, 2500, 4),
      createSteps(otherFaults, 2500, 2),
    ),
    { minLength: 1, maxLength: 3 },
  )
  .map((storms) => storms.flat(2));

/** Random scenarios without and with faults; with faults, about half of the steps submit jobs on average. */
export const scenarioArbitrary = {
  ofLargeJobs: createScenarios(
    fc.oneof(
      { weight: 3, arbitrary: fc.constantFrom(...largeKinds) },
      { weight: 1, arbitrary: fc.constantFrom(...submissionKinds, ...cancelKinds) },
      { weight: 3, arbitrary: fc.constantFrom(...kinds, 'refuseProgress' as const) },
    ),
  ),
  faultFree: createScenarios(fc.constantFrom(...faultFreeKinds)),
  withFaults: fc.oneof(
    {
      weight: 2,
      arbitrary: createScenarios(
        fc.oneof(
          { weight: 3, arbitrary: fc.constantFrom(...submissionKinds) },
          { weight: 1, arbitrary: fc.constantFrom(...cancelKinds) },
          { weight: 3, arbitrary: fc.constantFrom(...kinds) },
        ),
      ),
    },
    { weight: 2, arbitrary: cancelStorms },
    { weight: 1, arbitrary: registryStorms },
  ),
};
