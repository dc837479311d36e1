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

// Guards against a worker that never gets work, because its registry entry is taken for unreadable.
test('decodes a worker entry', () => {
  const record = decodeStreamRecord('workers', { key: 'w', value: encodeJson(entry) }, 3);
  expect(record).toMatchObject({ type: 'worker', id: 'w', offset: 3 });
});

// Guards against an invalid entry that stops the daemon, or whose worker gets work.
test.each([
  ['bytes that are not JSON', Buffer.from([1, 2, 3])],
  ['an unknown state', encodeJson({ ...entry, state: 'asleep' })],
  ['a missing field', encodeJson({ ...entry, born: undefined })],
  ['a field of another type', encodeJson({ ...entry, capacity: 'much' })],
])('registry entry is unreadable: %s', (_name, value) => {
  expect(decodeStreamRecord('workers', { key: 'w', value }, 0).type).toBe('unreadable');
});

// Guards against bytes of another writer in the journal that stop the daemon.
test('journal record of another writer is unreadable', () => {
  const value = Buffer.from('not msgpack at all');
  expect(decodeStreamRecord('journal', { key: 'p/1', value }, 0).type).toBe('unreadable');
});

// Guards against task rows whose order differs between the encoder and the decoder.
test('encoded progress is decoded', () => {
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
