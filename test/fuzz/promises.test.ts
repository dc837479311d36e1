import { expect, test } from '@jest/globals';
import { findViolation } from './findViolation.js';
import { profiles } from './profiles.js';
import type { PromiseName } from './PromiseName.js';

const names = Object.keys(profiles) as PromiseName[];

// Far above the usual duration, to allow for a busy machine.
const timeoutMs = 60_000;

// Guards against promises that break under random faults; `npm run fuzz` runs more scenarios.
test.each(names)(
  'promise %s holds under random faults',
  (name) => {
    expect(findViolation(name, { seed: 2026, runs: 60 })).toBeNull();
  },
  timeoutMs,
);
