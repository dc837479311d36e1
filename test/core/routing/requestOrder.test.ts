import { expect, test } from '@jest/globals';
import { answerLeaseCalls } from '../../fixtures/answerLeaseCalls.js';
import { findMessages } from '../../fixtures/findEffects.js';
import type { TestDaemon } from '../../fixtures/makeDaemon.js';
import { makeLeaseHolder } from '../../fixtures/makeLeaseHolder.js';
import { makeWorkerReport } from '../../fixtures/makeWorkerReport.js';
import { routingEvents } from '../../fixtures/routingEvents.js';

const { makeGrantRequest, makeGrantRelease, fillSlots, observeServiceTime } = routingEvents;

const createBusyScheduler = (): TestDaemon => {
  const daemon = makeLeaseHolder(['w1']);
  observeServiceTime(daemon, 'short', 10);
  observeServiceTime(daemon, 'long', 1000);
  fillSlots(daemon, 8, { requestClass: 'short' });
  return daemon;
};

const listNextGrants = (daemon: TestDaemon): string[] =>
  findMessages(daemon.push(makeGrantRelease('fill-0', 'answered')), 'grant').map(
    ({ requestId }) => requestId,
  );

// Guards against short requests that wait behind a backlog of long ones, and against a long
// request that never runs because short ones keep arriving.
test.each([
  [1400, 's'],
  [1600, 'l'],
])('after %i of 2000 ms, request %s is granted first', (waitedMs, first) => {
  const daemon = createBusyScheduler();
  daemon.push(makeGrantRequest('l', { requestClass: 'long', timeoutMs: 2000 }));
  daemon.advance(waitedMs);
  daemon.push(makeGrantRequest('s', { requestClass: 'short' }));
  expect(listNextGrants(daemon)).toEqual([first]);
});

// Guards against requests of a long or an unknown class that take every slot, so that short ones
// wait for one to end.
test.each(['long', 'unknown'])('%s requests leave a slot for short ones', (requestClass) => {
  const daemon = makeLeaseHolder(['w1']);
  observeServiceTime(daemon, 'short', 10);
  observeServiceTime(daemon, 'long', 1000);
  const granted = [0, 1, 2, 3, 4, 5, 6, 7].flatMap((index) =>
    findMessages(daemon.push(makeGrantRequest(`l${index}`, { requestClass })), 'grant'),
  );
  expect(granted).toHaveLength(7);
  const short = daemon.push(makeGrantRequest('s', { requestClass: 'short' }));
  expect(findMessages(short, 'grant')).toMatchObject([{ requestId: 's' }]);
});

// Guards against a slot that stays idle for short requests although none arrive any more.
test('no slot is reserved once short requests cease', () => {
  const daemon = createBusyScheduler();
  daemon.push(makeGrantRequest('l', { requestClass: 'long', timeoutMs: 60_000 }));
  for (let second = 0; second < 10; second += 1) {
    daemon.advance(1000);
    answerLeaseCalls(daemon, daemon.push({ type: 'tick' }), makeWorkerReport(null, 10_000));
  }
  expect(listNextGrants(daemon)).toEqual(['l']);
});

// Guards against a request that loses its place in the queue when a later one finds no free slot.
test('oldest request keeps its place', () => {
  const daemon = createBusyScheduler();
  daemon.push(makeGrantRequest('l', { requestClass: 'long', timeoutMs: 2000 }));
  daemon.advance(100);
  daemon.push(makeGrantRequest('s', { requestClass: 'short' }));
  daemon.advance(1500);
  expect(listNextGrants(daemon)).toEqual(['l']);
});

// Guards against charging a workspace for a request that found no free slot.
test('turn without a slot is not charged', () => {
  const daemon = createBusyScheduler();
  const before = daemon.state.routing.virtualTimeByWorkspace.get('toys');
  daemon.push(makeGrantRequest('s', { requestClass: 'short' }));
  expect(daemon.state.routing.virtualTimeByWorkspace.get('toys')).toBe(before);
});

// Guards against ranking a short class behind long ones after a single slow request.
test('single slow request does not change the order', () => {
  const daemon = createBusyScheduler();
  daemon.push(makeGrantRelease('fill-1', 'answered', 10_000));
  daemon.push(makeGrantRequest('fill-8', { requestClass: 'short' }));
  daemon.push(makeGrantRequest('l', { requestClass: 'long' }));
  daemon.push(makeGrantRequest('s', { requestClass: 'short' }));
  expect(listNextGrants(daemon)).toEqual(['s']);
});
