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

const request = (idempotent: boolean): UntimedEvent => ({
  type: 'callerRequested',
  requestId: 'r1',
  tokenHash: 'team-hash',
  workspace: 'toys',
  requestClass: 'label',
  idempotent,
  timeoutMs: 5000,
  replayable: true,
});

const grant = (attempt: number, waitedMs = 0): UntimedEvent => ({
  type: 'grant',
  from: scheduler,
  requestId: 'r1',
  attemptId: `r1.${attempt}`,
  workerId: 'w1',
  url: 'http://127.0.0.1:1',
  waitedMs,
  startWithinMs: 2000,
});

const fail = (attempt: number, phase: 'notSent' | 'sent' | 'headers'): UntimedEvent => ({
  type: 'attemptFailed',
  requestId: 'r1',
  attemptId: `r1.${attempt}`,
  phase,
  error: 'e',
});

const dispatch = (daemon: TestDaemon, idempotent: boolean): void => {
  daemon.push(request(idempotent));
  daemon.push(grant(1));
  daemon.push({ type: 'attemptSent', requestId: 'r1', attemptId: 'r1.1' });
};

// Guards against a second run of work that must not run twice.
test('sent non-idempotent attempt is not retried', () => {
  const daemon = makeGateway();
  dispatch(daemon, false);
  const effects = daemon.push(fail(1, 'sent'));
  expect(findMessages(effects, 'grantRequest')).toEqual([]);
  expect(findEffects(effects, 'refuseCaller')).toMatchObject([
    { refusal: { reason: 'outcome-unknown', outcome: 'unknown' } },
  ]);
});

test('sent idempotent attempt is retried elsewhere', () => {
  const daemon = makeGateway();
  dispatch(daemon, true);
  const effects = daemon.push(fail(1, 'sent'));
  expect(findMessages(effects, 'grantRequest')).toMatchObject([{ attempt: 2, avoid: ['w1'] }]);
});

test('unsent attempt is retried', () => {
  const daemon = makeGateway();
  daemon.push(request(false));
  daemon.push(grant(1));
  const effects = daemon.push(fail(1, 'notSent'));
  expect(findMessages(effects, 'grantRequest')).toMatchObject([{ attempt: 2 }]);
});

// Guards against retries that multiply a failure: the budget is 10% of requests, at least 3.
test('retry budget ends retries', () => {
  const daemon = makeGateway();
  daemon.push(request(false));
  const effects = [1, 2, 3, 4].flatMap((attempt) => {
    daemon.push(grant(attempt));
    return daemon.push(fail(attempt, 'notSent'));
  });
  expect(findMessages(effects, 'grantRequest')).toHaveLength(3);
  expect(findEffects(effects, 'refuseCaller')).toMatchObject([
    { refusal: { reason: 'retry-budget-spent', outcome: 'not-run' } },
  ]);
});

// Guards against a truncated answer that looks whole.
test('broken answer resets the caller', () => {
  const daemon = makeGateway();
  dispatch(daemon, true);
  daemon.push({ type: 'attemptHeaders', requestId: 'r1', attemptId: 'r1.1', status: 200 });
  expect(findEffects(daemon.push(fail(1, 'headers')), 'resetCaller')).toHaveLength(1);
});

// Guards against an abandoned attempt's answer reaching the caller of the next one.
test('late answer is dropped', () => {
  const daemon = makeGateway();
  dispatch(daemon, true);
  daemon.push(fail(1, 'sent'));
  daemon.push(grant(2));
  const late = { type: 'attemptHeaders', requestId: 'r1', attemptId: 'r1.1', status: 200 } as const;
  const effects = daemon.push(late);
  expect(findEffects(effects, 'relayAnswer')).toEqual([]);
  expect(findEffects(effects, 'count')).toEqual([{ type: 'count', name: 'late_answer_dropped' }]);
});

// Guards against work for a server that began to leave while the gateway was paused.
test('old grant goes back unused', () => {
  const daemon = makeGateway();
  daemon.push(request(true));
  daemon.advance(2500);
  const effects = daemon.push(grant(1, 400));
  expect(findEffects(effects, 'dispatchAttempt')).toEqual([]);
  expect(findMessages(effects, 'releaseGrant')).toMatchObject([{ outcome: 'unused' }]);
});

test('grant that waited long is used', () => {
  const daemon = makeGateway();
  daemon.push(request(true));
  daemon.advance(2500);
  expect(findEffects(daemon.push(grant(1, 2400)), 'dispatchAttempt')).toHaveLength(1);
});

// Guards against requests that hang when their scheduler dies.
test('lost scheduler is replaced', () => {
  const daemon = makeGateway();
  daemon.push(request(true));
  daemon.push({ type: 'linkClosed', node: scheduler });
  daemon.push({ type: 'linkOpened', node: 'vm-2/scheduler', zone: 'zone-a' });
  daemon.push({ ...heartbeat, from: 'vm-2/scheduler' });
  const effects = daemon.push({ type: 'tick' });
  expect(findEffects(effects, 'send')).toMatchObject([
    { to: 'vm-2/scheduler', message: { type: 'grantRequest', attempt: 2 } },
  ]);
});

// Guards against a claim of "not run" for work whose first byte may have been written.
test('deadline of a dispatched request is unknown', () => {
  const daemon = makeGateway();
  dispatch(daemon, true);
  daemon.advance(5000);
  expect(findEffects(daemon.push({ type: 'tick' }), 'refuseCaller')).toMatchObject([
    { refusal: { outcome: 'unknown' } },
  ]);
});

// Guards against a shutdown that ends the process while an answer is on its way.
test('shutdown waits for open requests', () => {
  const daemon = makeGateway();
  dispatch(daemon, true);
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

// Guards against one team's token that opens another's workspace.
test('foreign token is refused', () => {
  const daemon = makeGateway();
  const effects = daemon.push({ ...request(true), tokenHash: 'stranger' } as UntimedEvent);
  expect(findEffects(effects, 'refuseCaller')).toMatchObject([
    { refusal: { reason: 'unauthorized' } },
  ]);
});

// Guards against a refusal that denies an earlier attempt, which may have run.
test('deadline after a sent attempt is unknown', () => {
  const daemon = makeGateway();
  dispatch(daemon, true);
  daemon.push(fail(1, 'sent'));
  daemon.advance(5000);
  expect(findEffects(daemon.push({ type: 'tick' }), 'refuseCaller')).toMatchObject([
    { refusal: { reason: 'deadline-exceeded', outcome: 'unknown' } },
  ]);
});

// Guards against a repeated event that breaks the answer under way.
test('repeated headers are ignored', () => {
  const daemon = makeGateway();
  dispatch(daemon, true);
  const headers = {
    type: 'attemptHeaders',
    requestId: 'r1',
    attemptId: 'r1.1',
    status: 200,
  } as const;
  daemon.push(headers);
  expect(findEffects(daemon.push(headers), 'abortAttempt')).toEqual([]);
});
