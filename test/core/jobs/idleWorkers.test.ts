import { expect, test } from '@jest/globals';
import { explainJob } from '../../../src/core/jobs/explainJob.js';
import { createLeadState } from '../../fixtures/createLeadState.js';
import { jobEvents } from '../../fixtures/jobEvents.js';

const { submit, answerTaskCalls } = jobEvents;

// Guards against telling the owner of a job that only has to wait that it can never fit.
test('a busy worker is not reported as too small', () => {
  const state = createLeadState([4], { a: {} });
  answerTaskCalls(state, 0, submit(state, 0, 'x', 'a', { acceleratorsPerTask: 4 }));
  submit(state, 10, 'j', 'a', { acceleratorsPerTask: 4 });
  const text = explainJob(state, state.jobs.jobs.get('j')!, 20);
  expect(text).toContain('Needs 1 parts of 4 accelerators');
  expect(text).not.toContain('Does not fit');
});

// Guards against a gang that gets no reservation, because short requests fill the workers.
test('short requests do not prevent a reservation', () => {
  const state = createLeadState([2], { a: {} });
  state.routing.workerLoads.set('w0', {
    grantedAttempts: new Set(['g', 'h']),
    inheritedAttempts: new Set(),
  } as never);
  submit(state, 0, 'large', 'a', { tasks: 2 });
  expect(state.jobs.reservation).toEqual({
    jobId: 'large',
    workers: new Set(['w0']),
    expectedAt: 0,
  });
});
