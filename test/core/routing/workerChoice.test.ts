import { expect, test } from '@jest/globals';
import { findMessages } from '../../fixtures/findEffects.js';
import { makeLeaseHolder } from '../../fixtures/makeLeaseHolder.js';
import { routingEvents } from '../../fixtures/routingEvents.js';

const { makeGrantRequest, makeGrantRelease, observeServiceTime } = routingEvents;

// Guards against sending a class to a slow worker because that worker has not served the class yet.
test('slow worker is avoided for a new class', () => {
  const daemon = makeLeaseHolder(['w1', 'w2']);
  daemon.push(makeGrantRequest('slow'));
  daemon.push(makeGrantRequest('fast'));
  daemon.push(makeGrantRelease('slow', 'answered', 400));
  daemon.push(makeGrantRelease('fast', 'answered', 100));
  observeServiceTime(daemon, 'new', 50);
  const granted = findMessages(
    daemon.push(makeGrantRequest('r', { requestClass: 'new' })),
    'grant',
  );
  expect(granted).toMatchObject([{ workerId: 'w2' }]);
});
