import { expect, test } from '@jest/globals';
import { decodeJob } from '../../platform/decodeJob.js';

// Guards against fields that are left out when they are 0, false or empty.
test('fills in what a caller leaves out', () => {
  const job = decodeJob({ spec: 'x', steps: [{ count: 2, cpu: 500 }] });
  expect(job?.steps[0]).toMatchObject({
    count: 2,
    need: { cpu: 500, memMb: 0, gpu: 0 },
    gang: false,
    after: [],
  });
  expect(job?.schedule).toBeNull();
});

test.each([
  ['no object', null],
  ['no steps', { spec: 'x', steps: [] }],
  ['a step that waits for a later one', { spec: 'x', steps: [{ after: [1] }, {}] }],
  ['a step that waits for itself', { spec: 'x', steps: [{ after: [0] }] }],
  ['a negative need', { spec: 'x', steps: [{ gpu: -1 }] }],
  ['a count that is no number', { spec: 'x', steps: [{ count: 'many' }] }],
  ['too many tasks', { spec: 'x', steps: [{ count: 1_000_000 }] }],
  ['a spec that is too long', { spec: 'x'.repeat(4001), steps: [{}] }],
])('refuses %s', (_name, body) => {
  // Guards against jobs that can never run, or that take the memory of a VM.
  expect(decodeJob(body)).toBeNull();
});
