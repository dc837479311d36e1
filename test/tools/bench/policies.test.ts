import { expect, test } from '@jest/globals';
import { compareWithBound } from '../../../tools/bench/compareWithBound.js';
import type { BaselineWorker } from '../../../tools/bench/policies/BaselineWorker.js';
import { createFewestRunning } from '../../../tools/bench/policies/createFewestRunning.js';
import type { Attempt } from '../../../tools/bench/requests/Attempt.js';
import { buildWorkers } from '../../../tools/bench/requests/buildWorkers.js';

const attempt: Attempt = {
  request: {
    id: 'r',
    arrivalAt: 0,
    workspace: 'desk',
    requestClass: 'counter',
    serviceMs: 40,
    timeoutMs: 5000,
    cancelsIfWaiting: false,
  },
  number: 1,
  deadlineAt: 5000,
  avoid: [],
};

// Each worker has completed fewer requests than the next, so the rules prefer w0 unless it has failed.
const buildBaseline = (failedAt: number[][]): BaselineWorker[] =>
  buildWorkers(failedAt.map(() => 1)).map((spec, index) => ({
    spec,
    running: new Map(),
    completed: index,
    failedAt: failedAt[index]!,
  }));

// Guards against a baseline that is weaker than its rules: it uses a worker in the period of its
// failure, does not delay its reuse in the next one, or finds no worker when all have failed.
test.each([
  ['avoids a worker in the period of its failure', [[1000], []], 2000, 'w1'],
  ['delays its reuse in the next period', [[1000], []], 30_050, 'w1'],
  ['reuses it after the delay', [[1000], []], 30_150, 'w0'],
  ['ignores failures if all have failed', [[1000], [1000]], 2000, 'w0'],
])('fewest-running: %s', (_name, failedAt, at, chosen) => {
  const worker = createFewestRunning().chooseWorker(buildBaseline(failedAt), attempt, at);
  expect(worker?.spec.id).toBe(chosen);
});

// Guards against a comparison with the weaker baseline or oracle, or with the wrong sign.
test.each([
  ['lower', { a: 10, b: 12, oracle: 4, 'oracle-free': 2, ours: 4 }, 0.75],
  ['higher', { a: 1, b: 0.5, oracle: 3, 'oracle-free': 5, ours: 2 }, 0.25],
] as const)('share of the way to the bound, %s is better', (better, medians, share) => {
  const result = Object.fromEntries(
    Object.entries(medians).map(([policy, median]) => [
      policy,
      { m: { min: median, median, max: median } },
    ]),
  );
  const experiment = { policies: [], comparedMeasures: { m: better }, run: () => ({}) };
  expect(compareWithBound(experiment, result)).toMatchObject([{ bestBaseline: 'a', share }]);
});
