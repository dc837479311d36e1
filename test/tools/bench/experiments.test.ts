import { expect, test } from '@jest/globals';
import { experiments } from '../../../tools/bench/experiments/experiments.js';

const scale = 0.1;

// Guards against an experiment that fails, never ends a job, or differs between runs of a seed.
test.each(Object.entries(experiments))(
  '%s completes and is deterministic',
  (_name, { policies, run }) => {
    policies.forEach((policy) => {
      const measures = run(policy, 7, scale);
      expect(Object.values(measures).every(Number.isFinite)).toBe(true);
      expect(measures.unfinished ?? 0).toBe(0);
      expect(run(policy, 7, scale)).toEqual(measures);
    });
  },
);
