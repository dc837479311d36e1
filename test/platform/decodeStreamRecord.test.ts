import { expect, test } from '@jest/globals';
import { pack } from 'msgpackr';
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

const nestJson = (depth: number): string => `${'['.repeat(depth)}${']'.repeat(depth)}`;

// Guards against an invalid entry that stops the daemon, or whose worker gets work or counts as
// capacity.
test.each([
  ['bytes that are not JSON', Buffer.from([1, 2, 3]), 'entry'],
  ['no object', encodeJson(7), 'entry'],
  ['an unknown state', encodeJson({ ...entry, state: 'asleep' }), 'state'],
  ['a missing field', encodeJson({ ...entry, born: undefined }), 'born'],
  ['a field of another type', encodeJson({ ...entry, capacity: 'much' }), 'capacity'],
  ['port 0', encodeJson({ ...entry, address: '10.0.0.1:0' }), 'address'],
  ['port 70000', encodeJson({ ...entry, address: '10.0.0.1:70000' }), 'address'],
  ['an address that is none', encodeJson({ ...entry, address: '999.1.1.1:80' }), 'address'],
  ['an address without a host', encodeJson({ ...entry, address: '...:80' }), 'address'],
  ['fewer accelerators than none', encodeJson({ ...entry, capacity: { gpu: -8 } }), 'capacity.gpu'],
  ['1e15 accelerators', encodeJson({ ...entry, capacity: { gpu: 1e15 } }), 'capacity.gpu'],
  ['1e308 cores', encodeJson({ ...entry, capacity: { cpu: 1e308 } }), 'capacity.cpu'],
  ['an infinite number', Buffer.from('{"service":1e999}'), 'service'],
  ['a start time beyond all dates', encodeJson({ ...entry, born: 1e300 }), 'born'],
  ['deeply nested bytes', Buffer.from(nestJson(100_000)), 'entry'],
  [
    'a deeply nested field',
    Buffer.from(
      JSON.stringify({ ...entry, labels: 0 }).replace('0,"born"', `${nestJson(50_000)},"born"`),
    ),
    'labels.0',
  ],
])('registry entry is invalid: %s', (_name, value, field) => {
  const record = decodeStreamRecord('workers', { key: 'w', value }, 4);
  expect(record).toEqual({ type: 'invalidWorker', id: 'w', field, offset: 4 });
});

// Guards against bytes of another writer in the journal that stop the daemon.
test('journal record of another writer is unreadable', () => {
  const value = Buffer.from('not msgpack at all');
  expect(decodeStreamRecord('journal', { key: 'p/1', value }, 0).type).toBe('unreadable');
});

const task = {
  occurrence: 0,
  step: 1,
  index: 2,
  state: 'started' as const,
  run: 3,
  failures: 1,
  workerId: 'w',
  checkpoint: 'c',
  startedAt: 5,
};

// Guards against task rows whose order differs between the encoder and the decoder, and against finished
// occurrences that a new leader takes for unfinished ones.
test.each([
  ['no occurrence finished', 1, [0], [task]],
  ['two occurrences finished', 4, [0, 3], [task, { ...task, occurrence: 3 }]],
  ['all occurrences finished', 4, [], []],
])('encoded progress is decoded: %s', (_name, nextOccurrence, openOccurrences, tasks) => {
  const progress = {
    state: 'running' as const,
    endedAt: 0,
    nextOccurrence,
    openOccurrences,
    tasks,
  };
  const record = { type: 'progress' as const, id: '1', progress };
  expect(decodeStreamRecord('journal', encodeRecord(record), 9)).toEqual({ ...record, offset: 9 });
});

// Guards against progress of a former version, without occurrences, that a new leader can't read.
test('progress without occurrences is decoded', () => {
  const row = [2, 0, 0, 'done', 1, 0, 'w', '', 0];
  const record = { key: 'p/1', value: pack(['running', 0, [row]]) };
  expect(decodeStreamRecord('runs', record, 9)).toMatchObject({
    progress: { nextOccurrence: 3, openOccurrences: [0, 1, 2] },
  });
});
