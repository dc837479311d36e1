import { expect, test } from '@jest/globals';
import { computeFit } from '../../../tools/slopes/computeFit.js';

// Guards against a wrong slope, from which every figure of docs/CAPACITY.md is computed.
test('finds the slope and intercept of an exact line', () => {
  const fit = computeFit([1, 2, 5, 10].map((x) => [x, 3 + 2 * x]));
  expect(fit.slope).toBeCloseTo(2);
  expect(fit.intercept).toBeCloseTo(3);
  expect(fit.r2).toBeCloseTo(1);
});

// Guards against growth faster than linear that is taken for a line.
test('exponent shows a quadratic cost', () => {
  const fit = computeFit([10, 20, 40, 80].map((x) => [x, 7 * x * x]));
  expect(fit.exponent).toBeCloseTo(2);
  expect(fit.r2).toBeLessThan(0.99);
});

// Guards against an r2 that does not show how far the points are from the line.
test('r2 is lower for points off the line', () => {
  const fit = computeFit([
    [1, 1],
    [2, 4],
    [3, 2],
  ]);
  expect(fit.slope).toBeCloseTo(0.5);
  expect(fit.r2).toBeCloseTo(3 / 28);
});
