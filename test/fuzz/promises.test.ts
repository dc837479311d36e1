import { expect, test } from '@jest/globals';
import { findViolation } from './findViolation.js';
import { profiles } from './profiles.js';
import type { PromiseName } from './PromiseName.js';

const names = Object.keys(profiles) as PromiseName[];

// Far above the usual time, for a busy machine.
const timeoutMs = 60_000;

// Guards against a broken promise under random faults; `npm run fuzz` runs more of the same.
test.each(names)(
  'promise %s',
  (name) => {
    expect(findViolation(name, { seed: 2026, runs: 60 })).toBeNull();
  },
  timeoutMs,
);
