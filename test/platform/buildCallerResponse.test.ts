import { expect, test } from '@jest/globals';
import { buildCallerResponse } from '../../platform/buildCallerResponse.js';

// Guards against a status that means "not accepted" although the job may be stored.
test('unknown outcome is 504', () => {
  const answer = { type: 'refused', reason: 'store-unanswered', retryAfterMs: 1000 } as const;
  expect(buildCallerResponse(answer).status).toBe(504);
});

// Guards against a temporary refusal that does not tell the caller when to retry.
test('temporary refusal has Retry-After', () => {
  const answer = { type: 'refused', reason: 'store-refused', retryAfterMs: 1500 } as const;
  expect(buildCallerResponse(answer)).toMatchObject({
    status: 503,
    headers: { 'retry-after': '2' },
  });
});

// Guards against a wrong status, and against a Retry-After on a refusal that a retry cannot change.
test.each([
  ['no-queue', 404],
  ['unknown-key', 401],
  ['no-such-job', 410],
  ['invalid-job', 400],
  ['job-too-large', 413],
] as const)('permanent refusal: %s', (reason, status) => {
  const response = buildCallerResponse({ type: 'refused', reason, retryAfterMs: 0 });
  expect(response).toMatchObject({ status, headers: {} });
});

// Guards against a refusal of a job that doesn't tell its bound.
test('the detail of a refusal is in the body', () => {
  const detail = 'at most 262144 are possible';
  const answer = { type: 'refused', reason: 'job-too-large', retryAfterMs: 0, detail } as const;
  expect(buildCallerResponse(answer).body).toEqual({ error: 'job-too-large', detail });
});
