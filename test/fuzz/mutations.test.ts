import { expect, test } from '@jest/globals';
import { findViolation } from './findViolation.js';
import { mutations } from './mutations/mutations.js';

// Far above the usual time, for a busy machine.
const timeoutMs = 60_000;

// Guards against a property that cannot fail: without the rule, its promise must break.
test.each(Object.entries(mutations))(
  'without rule: %s',
  (_rule, { promise, runs, reduce }) => {
    expect(findViolation(promise, { seed: 1, runs, reduce, shrink: false })).not.toBeNull();
  },
  timeoutMs,
);
