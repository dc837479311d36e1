import { expect, test } from '@jest/globals';
import { decodeJob } from '../../platform/decodeJob.js';

// Guards against jobs that are rejected because the caller omits fields that are 0, false or empty.
test('omitted fields get defaults', () => {
  const job = decodeJob({ spec: 'x', steps: [{ count: 2, cpu: 500 }] }).unwrapOr(null);
  expect(job?.steps[0]).toMatchObject({
    count: 2,
    need: { cpu: 500, memMb: 0, gpu: 0 },
    gang: false,
    after: [],
  });
  expect(job?.schedule).toBeNull();
});

// Guards against jobs that can never run, or that exhaust the memory of a VM.
test.each([
  ['not an object', null],
  ['no steps', { spec: 'x', steps: [] }],
  ['a step that depends on a later one', { spec: 'x', steps: [{ after: [1] }, {}] }],
  ['a step that depends on itself', { spec: 'x', steps: [{ after: [0] }] }],
  ['a negative need', { spec: 'x', steps: [{ gpu: -1 }] }],
  ['a count that is not a number', { spec: 'x', steps: [{ count: 'many' }] }],
  ['too many tasks', { spec: 'x', steps: [{ count: 1_000_000 }] }],
  ['a spec that is too long', { spec: 'x'.repeat(4001), steps: [{}] }],
])('rejects %s', (_name, body) => {
  expect(decodeJob(body).isErr()).toBe(true);
});

// Guards against a refusal from which a caller can't tell what to change.
test.each([
  ['4096', { steps: [{ count: 4097 }] }],
  ['16384', { steps: Array.from({ length: 5 }, () => ({ count: 4096 })) }],
  ['64', { steps: Array.from({ length: 65 }, () => ({})) }],
  ['4000', { spec: 'x'.repeat(4001), steps: [{}] }],
  ['10000', { steps: [{}], repeat_count: 10_001 }],
])('a job beyond a bound is told the bound: %s', (bound, body) => {
  const problem = decodeJob(body).match(
    () => '',
    (text) => text,
  );
  expect(problem).toContain(bound);
});
