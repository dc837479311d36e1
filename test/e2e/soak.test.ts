import { expect, test } from '@jest/globals';
import { runSoakSeed } from '../../tools/soak/runSoakSeed.js';

// Long enough for several overlapping faults; `npm run soak` runs longer.
const loadDurationMs = 8000;

/**
 * Seeds that found a fault:
 * 1: a trial version withdrew, in every placement pass, starts that were not stored yet;
 * 100, 207: the soak did not publish a record again that was lost while the store was silent;
 * 402: an outgoing connection took the port of a killed daemon before its restart.
 */
const seeds = [1, 100, 207, 402];

// Guards against invariants of the daemon that fail in a real process under signals, lost
// connections and store faults.
test.each(seeds)(
  'soak with seed %i keeps all invariants',
  async (seed) => {
    const { broken, accepted } = await runSoakSeed({ seed, loadDurationMs });
    expect(broken).toEqual([]);
    expect(accepted).toBeGreaterThan(0);
  },
  90_000,
);
