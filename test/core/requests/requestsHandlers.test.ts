import { expect, test } from '@jest/globals';
import type { UntimedEvent } from '../../../src/core/UntimedEvent.js';
import { findEffects, findMessages } from '../../fixtures/findEffects.js';
import { makeDaemon, type TestDaemon } from '../../fixtures/makeDaemon.js';
import { makeSnapshotEvent } from '../../fixtures/makeSnapshotEvent.js';

const scheduler = 'vm-1/scheduler';

const heartbeat: UntimedEvent = {
  type: 'heartbeat',
  from: scheduler,
  zone: 'zone-a',
  incarnation: 's1',
  lead: true,
  heldWorkers: 2,
  draining: false,
  settingsVersion: 1,
};

const makeGateway = (): TestDaemon => {
  const daemon = makeDaemon('gateway');
  daemon.push(makeSnapshotEvent(1, ['w1', 'w2']));
  daemon.push({ type: 'linkOpened', node: scheduler, zone: 'zone-a' });
  daemon.push(heartbeat);
  return daemon;
};

const makeRequest = (idempotent: boolean): UntimedEvent => ({
  type: 'callerRequested',
  requestId: 'r1',
  tokenHash: 'team-hash',
  workspace: 'toys',
  requestClass: 'label',
  idempotent,
  timeoutMs: 5000,
  replayable: true,
});

const makeGrant = (attempt: number, waitedMs = 0): UntimedEvent => ({
  type: 'grant',
  from: scheduler,
  requestId: 'r1',
  attemptId: `r1.${attempt}`,
  workerId: 'w1',
  url: 'http://127.0.0.1:1',
  waitedMs,
  startWithinMs: 2000,
});

const makeFailure = (attempt: number, phase: 'notSent' | 'sent' | 'headers'): UntimedEvent => ({
  type: 'attemptFailed',
  requestId: 'r1',
  attemptId: `r1.${attempt}`,
  phase,
  error: 'e',
});

const dispatchRequest = (daemon: TestDaemon, idempotent: boolean): void => {
  daemon.push(makeRequest(idempotent));
  daemon.push(makeGrant(1));
  daemon.push({ type: 'attemptSent', requestId: 'r1', attemptId: 'r1.1' });
};

// Guards against running non-idempotent work twice: the worker may have run it before the
// connection failed.
test('sent non-idempotent attempt is not retried', () => {
  const daemon = makeGateway();
  dispatchRequest(daemon, false);
  const effects = daemon.push(makeFailure(1, 'sent'));
  expect(findMessages(effects, 'grantRequest')).toEqual([]);
  expect(findEffects(effects, 'refuseCaller')).toMatchObject([
    { refusal: { reason: 'outcome-unknown', outcome: 'unknown' } },
  ]);
});

// Guards against an error for a request that can safely be sent again.
test('sent idempotent attempt is retried on another worker', () => {
  const daemon = makeGateway();
  dispatchRequest(daemon, true);
  const effects = daemon.push(makeFailure(1, 'sent'));
  expect(findMessages(effects, 'grantRequest')).toMatchObject([{ attempt: 2, avoid: ['w1'] }]);
});

// Guards against an error for a request of which the worker got nothing.
test('unsent attempt is retried', () => {
  const daemon = makeGateway();
  daemon.push(makeRequest(false));
  daemon.push(makeGrant(1));
  const effects = daemon.push(makeFailure(1, 'notSent'));
  expect(findMessages(effects, 'grantRequest')).toMatchObject([{ attempt: 2 }]);
});

// Guards against retries that amplify the load of a failure: the budget is 10% of requests, at
// least 3.
test('retries stop when the retry budget is spent', () => {
  const daemon = makeGateway();
  daemon.push(makeRequest(false));
  const effects = [1, 2, 3, 4].flatMap((attempt) => {
    daemon.push(makeGrant(attempt));
    return daemon.push(makeFailure(attempt, 'notSent'));
  });
  expect(findMessages(effects, 'grantRequest')).toHaveLength(3);
  expect(findEffects(effects, 'refuseCaller')).toMatchObject([
    { refusal: { reason: 'retry-budget-spent', outcome: 'not-run' } },
  ]);
});

// Guards against a truncated answer that looks complete: the connection to the worker failed after
// the headers.
test('incomplete answer resets the caller', () => {
  const daemon = makeGateway();
  dispatchRequest(daemon, true);
  daemon.push({ type: 'attemptHeaders', requestId: 'r1', attemptId: 'r1.1', status: 200 });
  expect(findEffects(daemon.push(makeFailure(1, 'headers')), 'resetCaller')).toHaveLength(1);
});

// Guards against relaying the answer of an abandoned attempt as the answer of the next one.
test('late answer is dropped', () => {
  const daemon = makeGateway();
  dispatchRequest(daemon, true);
  daemon.push(makeFailure(1, 'sent'));
  daemon.push(makeGrant(2));
  const late = { type: 'attemptHeaders', requestId: 'r1', attemptId: 'r1.1', status: 200 } as const;
  const effects = daemon.push(late);
  expect(findEffects(effects, 'relayAnswer')).toEqual([]);
  expect(findEffects(effects, 'count')).toEqual([{ type: 'count', name: 'late_answer_dropped' }]);
});

// Guards against sending work to a worker that began to leave while the gateway was paused.
test('grant received too late is returned unused', () => {
  const daemon = makeGateway();
  daemon.push(makeRequest(true));
  daemon.advance(2500);
  const effects = daemon.push(makeGrant(1, 400));
  expect(findEffects(effects, 'dispatchAttempt')).toEqual([]);
  expect(findMessages(effects, 'releaseGrant')).toMatchObject([{ outcome: 'unused' }]);
});

// Guards against returning a new grant as too old because its request waited long at the scheduler.
test('fresh grant after a long wait is used', () => {
  const daemon = makeGateway();
  daemon.push(makeRequest(true));
  daemon.advance(2500);
  expect(findEffects(daemon.push(makeGrant(1, 2400)), 'dispatchAttempt')).toHaveLength(1);
});

// Guards against requests that hang when their scheduler fails.
test('request moves to another scheduler when its own is lost', () => {
  const daemon = makeGateway();
  daemon.push(makeRequest(true));
  daemon.push({ type: 'linkClosed', node: scheduler });
  daemon.push({ type: 'linkOpened', node: 'vm-2/scheduler', zone: 'zone-a' });
  daemon.push({ ...heartbeat, from: 'vm-2/scheduler' });
  const effects = daemon.push({ type: 'tick' });
  expect(findEffects(effects, 'send')).toMatchObject([
    { to: 'vm-2/scheduler', message: { type: 'grantRequest', attempt: 2 } },
  ]);
});

// Guards against refusing work as not run whose first byte may have been sent.
test('deadline of a sent request has an unknown outcome', () => {
  const daemon = makeGateway();
  dispatchRequest(daemon, true);
  daemon.advance(5000);
  expect(findEffects(daemon.push({ type: 'tick' }), 'refuseCaller')).toMatchObject([
    { refusal: { outcome: 'unknown' } },
  ]);
});

// Guards against a shutdown that ends the process while an answer is being relayed.
test('shutdown waits for open requests', () => {
  const daemon = makeGateway();
  dispatchRequest(daemon, true);
  daemon.push({ type: 'shutdownRequested' });
  daemon.advance(5000);
  daemon.push({ type: 'attemptHeaders', requestId: 'r1', attemptId: 'r1.1', status: 200 });
  const closing = daemon.push({ type: 'tick' });
  expect(findEffects(closing, 'closeListener')).toHaveLength(1);
  expect(findEffects(closing, 'exit')).toEqual([]);
  daemon.push({ type: 'attemptEnded', requestId: 'r1', attemptId: 'r1.1' });
  daemon.push({ type: 'tick' });
  daemon.state.usage.sentBatches.clear();
  daemon.state.usage.unsentRecords = [];
  expect(findEffects(daemon.push({ type: 'tick' }), 'exit')).toHaveLength(1);
});

// Guards against access with a token that no team has registered.
test('unknown token is refused', () => {
  const daemon = makeGateway();
  const effects = daemon.push({ ...makeRequest(true), tokenHash: 'unknown-hash' } as UntimedEvent);
  expect(findEffects(effects, 'refuseCaller')).toMatchObject([
    { refusal: { reason: 'unauthorized' } },
  ]);
});

// Guards against refusing a request as not run although an earlier attempt may have run.
test('deadline after a sent attempt has an unknown outcome', () => {
  const daemon = makeGateway();
  dispatchRequest(daemon, true);
  daemon.push(makeFailure(1, 'sent'));
  daemon.advance(5000);
  expect(findEffects(daemon.push({ type: 'tick' }), 'refuseCaller')).toMatchObject([
    { refusal: { reason: 'deadline-exceeded', outcome: 'unknown' } },
  ]);
});

// Guards against a repeated event that aborts the answer in progress.
test('repeated headers are ignored', () => {
  const daemon = makeGateway();
  dispatchRequest(daemon, true);
  const headers = {
    type: 'attemptHeaders',
    requestId: 'r1',
    attemptId: 'r1.1',
    status: 200,
  } as const;
  daemon.push(headers);
  expect(findEffects(daemon.push(headers), 'abortAttempt')).toEqual([]);
});
