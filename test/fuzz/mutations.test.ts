import { expect, test } from '@jest/globals';
import { findViolation } from './findViolation.js';
import { mutations } from './mutations/mutations.js';

// Far above the usual duration, to allow for a busy machine.
const timeoutMs = 60_000;

// Guards against a property that cannot fail: with the rule disabled, the fuzzer must find a
// violation.
test.each(Object.entries(mutations))(
  'violation is found without rule: %s',
  (_rule, { promise, runs, reduce }) => {
    expect(findViolation(promise, { seed: 1, runs, reduce, shrink: false })).not.toBeNull();
  },
  timeoutMs,
);
