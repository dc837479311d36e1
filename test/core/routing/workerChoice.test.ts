import { expect, test } from '@jest/globals';
import { findMessages } from '../../fixtures/findEffects.js';
import { makeHolder } from '../../fixtures/makeHolder.js';
import { routingEvents } from '../../fixtures/routingEvents.js';

const { ask, release, teach } = routingEvents;

// Guards against a class that goes to a slow worker because that worker has not served it yet.
test('slowness counts for a new class', () => {
  const daemon = makeHolder(['w1', 'w2']);
  daemon.push(ask('slow'));
  daemon.push(ask('fast'));
  daemon.push(release('slow', 'answered', 400));
  daemon.push(release('fast', 'answered', 100));
  teach(daemon, 'new', 50);
  const granted = findMessages(daemon.push(ask('r', { requestClass: 'new' })), 'grant');
  expect(granted).toMatchObject([{ workerId: 'w2' }]);
});
