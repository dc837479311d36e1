import { expect, test } from '@jest/globals';
import fc from 'fast-check';
import { scenarioArbitrary } from './scenarioArbitrary.js';
import type { ScenarioAction } from './ScenarioAction.js';
import { runScenario } from './runScenario.js';

const seed = Number(process.env.FUZZ_SEED ?? 4);
const numRuns = Number(process.env.FUZZ_RUNS ?? 60);

// The progress of a few dozen tasks is divided, and a change of several jobs takes several appends.
const smallSizes = {
  storeLimits: { maxRecordBytes: 1500, maxCallBytes: 4000 },
  checkpointPadding: 200,
};

const checkScenarios = (
  scenarios: fc.Arbitrary<ScenarioAction[]>,
  runs: number,
  sizes: Parameters<typeof runScenario>[2] = {},
): void =>
  fc.assert(
    fc.property(fc.integer({ min: 1, max: 1_000_000 }), scenarios, (scenarioSeed, actions) => {
      expect(runScenario(scenarioSeed, actions, sizes)).toEqual([]);
    }),
    { seed, numRuns: runs },
  );

// Guards against overlapping faults that break a guarantee of docs/platform.md.
test('random scenarios with faults keep all guarantees', () => {
  checkScenarios(scenarioArbitrary.withFaults, numRuns);
}, 600_000);

// Guards against incomplete gangs and lapsed leases in the absence of faults.
test('fault-free scenarios waste no runs', () => {
  checkScenarios(scenarioArbitrary.faultFree, Math.ceil(numRuns / 4));
}, 600_000);

// Guards against tasks that run twice, or jobs that stop, when the progress of a job outgrows a record of the store.
test('random scenarios keep all guarantees at a store with small limits', () => {
  checkScenarios(scenarioArbitrary.ofLargeJobs, Math.ceil(numRuns / 2), smallSizes);
}, 600_000);
