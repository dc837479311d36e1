import { expect, test } from '@jest/globals';
import fc from 'fast-check';
import { scenarioArbitrary } from './scenarioArbitrary.js';
import type { ScenarioAction } from './ScenarioAction.js';
import { runScenario } from './runScenario.js';

const seed = Number(process.env.FUZZ_SEED ?? 4);
const numRuns = Number(process.env.FUZZ_RUNS ?? 60);

const checkScenarios = (scenarios: fc.Arbitrary<ScenarioAction[]>, runs: number): void =>
  fc.assert(
    fc.property(fc.integer({ min: 1, max: 1_000_000 }), scenarios, (scenarioSeed, actions) => {
      expect(runScenario(scenarioSeed, actions)).toEqual([]);
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
