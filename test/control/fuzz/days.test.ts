import { expect, test } from '@jest/globals';
import fc from 'fast-check';
import { dayArbitrary } from './dayArbitrary.js';
import type { FaultAction } from './FaultAction.js';
import { runDay } from './runDay.js';

const seed = Number(process.env.FUZZ_SEED ?? 4);
const numRuns = Number(process.env.FUZZ_RUNS ?? 60);

const checkDays = (days: fc.Arbitrary<FaultAction[]>, runs: number): void =>
  fc.assert(
    fc.property(fc.integer({ min: 1, max: 1_000_000 }), days, (day, actions) => {
      expect(runDay(day, actions)).toEqual([]);
    }),
    { seed, numRuns: runs },
  );

// Guards every promise of docs/platform.md against faults that overlap.
test('random days keep the promises', () => {
  checkDays(dayArbitrary.troubled, numRuns);
}, 600_000);

// Guards against gangs that wait for a member in vain, and leases that lapse, without any trouble.
test('calm days waste nothing', () => {
  checkDays(dayArbitrary.calm, Math.ceil(numRuns / 4));
}, 600_000);
