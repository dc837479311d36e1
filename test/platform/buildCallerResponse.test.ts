import { expect, test } from '@jest/globals';
import { buildCallerResponse } from '../../platform/buildCallerResponse.js';

// Guards against a refusal that says "not accepted" while the job may be stored.
test('an open outcome is no refusal', () => {
  const answer = { type: 'refused', reason: 'store-unanswered', retryAfterMs: 1000 } as const;
  expect(buildCallerResponse(answer).status).toBe(504);
});

// Guards against callers that are not told when to come back.
test('a refusal says when to come back', () => {
  const answer = { type: 'refused', reason: 'store-refused', retryAfterMs: 1500 } as const;
  expect(buildCallerResponse(answer)).toMatchObject({
    status: 503,
    headers: { 'retry-after': '2' },
  });
});

test.each([
  ['no-queue', 404],
  ['unknown-key', 401],
  ['no-such-job', 410],
  ['invalid-job', 400],
] as const)('%s is final', (reason, status) => {
  // Guards against a Retry-After on what will not change.
  const response = buildCallerResponse({ type: 'refused', reason, retryAfterMs: 0 });
  expect(response).toMatchObject({ status, headers: {} });
});
