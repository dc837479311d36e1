import { expect, test } from '@jest/globals';
import fc from 'fast-check';
import { dayArbitrary } from './dayArbitrary.js';
import { runDay } from './runDay.js';

const seed = Number(process.env.FUZZ_SEED ?? 4);
const numRuns = Number(process.env.FUZZ_RUNS ?? 60);

// Guards every promise of docs/platform.md against faults that overlap.
test('random days keep the promises', () => {
  fc.assert(
    fc.property(fc.integer({ min: 1, max: 1_000_000 }), dayArbitrary, (day, actions) => {
      expect(runDay(day, actions)).toEqual([]);
    }),
    { seed, numRuns },
  );
}, 600_000);
