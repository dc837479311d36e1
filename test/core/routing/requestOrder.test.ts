import { expect, test } from '@jest/globals';
import { findMessages } from '../../fixtures/findEffects.js';
import type { TestDaemon } from '../../fixtures/makeDaemon.js';
import { makeHolder } from '../../fixtures/makeHolder.js';
import { routingEvents } from '../../fixtures/routingEvents.js';

const { ask, release, fillSlots, teach } = routingEvents;

const createBusy = (): TestDaemon => {
  const daemon = makeHolder(['w1']);
  teach(daemon, 'short', 10);
  teach(daemon, 'long', 1000);
  fillSlots(daemon, 8);
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
