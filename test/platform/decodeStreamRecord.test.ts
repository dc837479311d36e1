import { expect, test } from '@jest/globals';
import { encodeRecord } from '../../src/adapters/journal/encodeRecord.js';
import { decodeStreamRecord } from '../../platform/decodeStreamRecord.js';

const entry = {
  service: 's',
  address: '10.0.0.1:80',
  zone: 'z',
  state: 'ready',
  capacity: { cpu: 1000, mem_mb: 10, gpu: 8 },
  labels: ['a', 'r1'],
  born: 5,
};

const encodeJson = (value: unknown): Buffer => Buffer.from(JSON.stringify(value));

test('reads a worker entry', () => {
  const record = decodeStreamRecord('workers', { key: 'w', value: encodeJson(entry) }, 3);
  expect(record).toMatchObject({ type: 'worker', id: 'w', offset: 3 });
});

test.each([
  ['bytes that are no JSON', Buffer.from([1, 2, 3])],
  ['a state that is not named', encodeJson({ ...entry, state: 'asleep' })],
  ['a missing field', encodeJson({ ...entry, born: undefined })],
  ['a field of another type', encodeJson({ ...entry, capacity: 'much' })],
])('skips %s in the registry', (_name, value) => {
  // Guards against another writer's entry that stops the daemon or gets work.
  expect(decodeStreamRecord('workers', { key: 'w', value }, 0).type).toBe('unreadable');
});

test('skips bytes of another writer in the journal', () => {
  const value = Buffer.from('not msgpack at all');
  expect(decodeStreamRecord('journal', { key: 'p/1', value }, 0).type).toBe('unreadable');
});

test('reads back the records of the journal', () => {
  const progress = {
    state: 'running' as const,
    endedAt: 0,
    tasks: [
      {
        occurrence: 0,
        step: 1,
        index: 2,
        state: 'started' as const,
        run: 3,
        failures: 1,
        workerId: 'w',
        checkpoint: 'c',
        startedAt: 5,
      },
    ],
  };
  const record = { type: 'progress' as const, id: '1', progress };
  expect(decodeStreamRecord('journal', encodeRecord(record), 9)).toEqual({ ...record, offset: 9 });
});
