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

// Guards every promise of docs/platform.md against faults that overlap.
test('random days keep the promises', () => {
  checkScenarios(scenarioArbitrary.troubled, numRuns);
}, 600_000);

// Guards against gangs that wait for a member in vain, and leases that lapse, without any trouble.
test('calm days waste nothing', () => {
  checkScenarios(scenarioArbitrary.calm, Math.ceil(numRuns / 4));
}, 600_000);
