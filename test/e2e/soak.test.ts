import { expect, test } from '@jest/globals';
import { playSoak } from '../../tools/soak/playSoak.js';

// Long enough for several faults that overlap; the full run is `npm run soak`.
const playMs = 8000;

// Guards the promises of the daemon as a real process against signals, cuts and a bad store.
test.each([1])(
  'seed %i of the soak keeps the promises',
  async (seed) => {
    const { broken, accepted } = await playSoak({ seed, playMs });
    expect(broken).toEqual([]);
    expect(accepted).toBeGreaterThan(0);
  },
  90_000,
);
