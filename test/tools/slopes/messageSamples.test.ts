import { expect, test } from '@jest/globals';
import { decodeMessage } from '../../../src/adapters/mesh/decodeMessage.js';
import { encodeMessage } from '../../../src/adapters/mesh/encodeMessage.js';
import { messageSchemas } from '../../../src/adapters/mesh/messageSchemas.js';
import { measureRenewalBytes } from '../../../tools/slopes/measureRenewalBytes.js';
import { messageSamples } from '../../../tools/slopes/messageSamples.js';

// An invalid sample would give the size of a message that no daemon accepts.
test.each(Object.keys(messageSamples))('%s is accepted by the mesh', (name) => {
  expect(decodeMessage(encodeMessage(messageSamples[name]!())).isOk()).toBe(true);
});

test('every message type has a sample', () => {
  const types = new Set(Object.values(messageSamples).map((create) => create().type));
  expect([...types].sort()).toEqual(Object.keys(messageSchemas).sort());
});

// Bodies that did not grow with the tasks would leave renewals or reports out.
test('a renewal grows by the same bytes for each task', () => {
  const [none, one, two] = [0, 1, 2].map(measureRenewalBytes);
  expect(one!.requestBody).toBeGreaterThan(none!.requestBody);
  expect(two!.answerBody - one!.answerBody).toBe(one!.answerBody - none!.answerBody + 1);
});
