import { expect, test } from '@jest/globals';
import type { Attempt } from '../../../src/adapters/callers/Attempt.js';
import { createAttemptHandler } from '../../../src/adapters/callers/createAttemptHandler.js';
import type { UntimedEvent } from '../../../src/core/UntimedEvent.js';

const makeHandler = (changes: Partial<Attempt> = {}) => {
  const events: UntimedEvent[] = [];
  const aborts: string[] = [];
  const attempt: Attempt = {
    ...{ attemptId: 'r1.1', requestId: 'r1', controller: null, phase: 'notSent', status: 0 },
    ...{ headers: {}, abandoned: false, relayed: false },
    ...changes,
  };
  const controller = { abort: ({ message }: Error) => aborts.push(message) };
  const handler = createAttemptHandler(attempt, {} as never, (event) => events.push(event));
  const start = (): void => handler.onRequestStart?.(controller as never, {});
  return { start, events, aborts };
};

// Guards against a request that runs twice because the HTTP client resends it on its own.
test('attempt is sent once', () => {
  const { start, events, aborts } = makeHandler();
  start();
  start();
  expect(events).toEqual([{ type: 'attemptSent', requestId: 'r1', attemptId: 'r1.1' }]);
  expect(aborts).toHaveLength(1);
});

// Guards against a request that is sent after its caller was told the outcome: the core abandons an
// attempt that is still connecting, and the connection opens later.
test('abandoned attempt is not sent', () => {
  const { start, events, aborts } = makeHandler({ abandoned: true });
  start();
  expect(events).toEqual([]);
  expect(aborts).toHaveLength(1);
});
