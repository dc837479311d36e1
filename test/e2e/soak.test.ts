import { expect, test } from '@jest/globals';
import { runSoakSeed } from '../../tools/soak/runSoakSeed.js';

// Long enough for several faults that overlap; the full run is `npm run soak`.
const playMs = 8000;

/**
 * Seeds that failed once, with their causes:
 * 1: a trial's code took back starts that were not written yet, in each pass anew;
 * 100, 207: the soak did not repeat a record that it published while the store was silent;
 * 402: a port of a killed daemon was taken by an outgoing connection before it started again.
 */
const seeds = [1, 100, 207, 402];

// Guards the promises of the daemon as a real process against signals, cuts and a bad store.
test.each(seeds)(
  'seed %i of the soak keeps the promises',
  async (seed) => {
    const { broken, accepted } = await runSoakSeed({ seed, loadDurationMs: playMs });
    expect(broken).toEqual([]);
    expect(accepted).toBeGreaterThan(0);
  },
  90_000,
);
