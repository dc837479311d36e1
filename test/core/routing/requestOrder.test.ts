import { expect, test } from '@jest/globals';
import { answerLeases } from '../../fixtures/answerLeases.js';
import { findMessages } from '../../fixtures/findEffects.js';
import type { TestDaemon } from '../../fixtures/makeDaemon.js';
import { makeHolder } from '../../fixtures/makeHolder.js';
import { makeReport } from '../../fixtures/makeReport.js';
import { routingEvents } from '../../fixtures/routingEvents.js';

const { ask, release, fillSlots, teach } = routingEvents;

const createBusy = (): TestDaemon => {
  const daemon = makeHolder(['w1']);
  teach(daemon, 'short', 10);
  teach(daemon, 'long', 1000);
  fillSlots(daemon, 8, { requestClass: 'short' });
  return daemon;
};

const grantNext = (daemon: TestDaemon): string[] =>
  findMessages(daemon.push(release('fill-0', 'answered')), 'grant').map(
    ({ requestId }) => requestId,
  );

// Guards against short requests that wait behind a backlog of long ones, and against a long
// request that never runs beside a steady flow of short ones.
test.each([
  [1400, 's'],
  [1600, 'l'],
])('after %i of 2000 ms, %s goes first', (waitedMs, first) => {
  const daemon = createBusy();
  daemon.push(ask('l', { requestClass: 'long', timeoutMs: 2000 }));
  daemon.advance(waitedMs);
  daemon.push(ask('s', { requestClass: 'short' }));
  expect(grantNext(daemon)).toEqual([first]);
});

// Guards against requests of a long or an unknown class that take every slot, so that short ones
// wait for one to end.
test.each(['long', 'unknown'])('%s requests leave slots to short ones', (requestClass) => {
  const daemon = makeHolder(['w1']);
  teach(daemon, 'short', 10);
  teach(daemon, 'long', 1000);
  const granted = [0, 1, 2, 3, 4, 5, 6, 7].flatMap((index) =>
    findMessages(daemon.push(ask(`l${index}`, { requestClass })), 'grant'),
  );
  expect(granted).toHaveLength(7);
  const short = daemon.push(ask('s', { requestClass: 'short' }));
  expect(findMessages(short, 'grant')).toMatchObject([{ requestId: 's' }]);
});

// Guards against slots that stay idle for short requests that no longer come.
test('slots are not kept without short requests', () => {
  const daemon = createBusy();
  daemon.push(ask('l', { requestClass: 'long', timeoutMs: 60_000 }));
  for (let second = 0; second < 10; second += 1) {
    daemon.advance(1000);
    answerLeases(daemon, daemon.push({ type: 'tick' }), makeReport(null, 10_000));
  }
  expect(grantNext(daemon)).toEqual(['l']);
});

// Guards against a request that loses its place in the queue to a later one that found no slot.
test('oldest request keeps its place', () => {
  const daemon = createBusy();
  daemon.push(ask('l', { requestClass: 'long', timeoutMs: 2000 }));
  daemon.advance(100);
  daemon.push(ask('s', { requestClass: 'short' }));
  daemon.advance(1500);
  expect(grantNext(daemon)).toEqual(['l']);
});

// Guards against a workspace that pays for turns in which no slot was free.
test('turn without a slot is not charged', () => {
  const daemon = createBusy();
  const before = daemon.state.routing.served.get('toys');
  daemon.push(ask('s', { requestClass: 'short' }));
  expect(daemon.state.routing.served.get('toys')).toBe(before);
});

// Guards against a short class that goes behind long ones after a single straggler.
test('straggler does not change the order', () => {
  const daemon = createBusy();
  daemon.push(release('fill-1', 'answered', 10_000));
  daemon.push(ask('fill-8', { requestClass: 'short' }));
  daemon.push(ask('l', { requestClass: 'long' }));
  daemon.push(ask('s', { requestClass: 'short' }));
  expect(grantNext(daemon)).toEqual(['s']);
});
