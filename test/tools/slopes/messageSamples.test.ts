import { expect, test } from '@jest/globals';
import { decodeMessage } from '../../../src/adapters/mesh/decodeMessage.js';
import { encodeMessage } from '../../../src/adapters/mesh/encodeMessage.js';
import { messageSchemas } from '../../../src/adapters/mesh/messageSchemas.js';
import { measureRenewalBytes } from '../../../tools/slopes/measureRenewalBytes.js';
import { messageSamples } from '../../../tools/slopes/messageSamples.js';

// Guards against the measured size of a message that no daemon accepts.
test.each(Object.keys(messageSamples))('%s is accepted by the mesh', (name) => {
  expect(decodeMessage(encodeMessage(messageSamples[name]!())).isOk()).toBe(true);
});

// Guards against a message type that is missing from the measurements.
test('every message type has a sample', () => {
  const types = new Set(Object.values(messageSamples).map((create) => create().type));
  expect([...types].sort()).toEqual(Object.keys(messageSchemas).sort());
});

// Guards against a renewal or a worker report that leaves out its tasks: its size would not grow.
test('renewal and its answer grow with each task', () => {
  const [none, one, two] = [0, 1, 2].map(measureRenewalBytes);
  expect(one!.requestBody).toBeGreaterThan(none!.requestBody);
  // The second task adds a comma as well.
  expect(two!.answerBody - one!.answerBody).toBe(one!.answerBody - none!.answerBody + 1);
});
