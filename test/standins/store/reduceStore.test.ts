import { expect, test } from '@jest/globals';
import { createStoreState } from '../../../standins/store/createStoreState.js';
import { reduceStore } from '../../../standins/store/reduceStore.js';
import type { StoreEffect } from '../../../standins/store/StoreEffect.js';
import type { StoreEvent } from '../../../standins/store/StoreEvent.js';
import type { StoreState } from '../../../standins/store/StoreState.js';

const applyEvent = (state: StoreState, event: StoreEvent, at = 0): StoreEffect[] =>
  reduceStore(state, { ...event, at, wall: at });

const append = (
  key: string,
  options: Partial<Extract<StoreEvent, { type: 'appendRequested' }>> = {},
): StoreEvent => ({
  type: 'appendRequested',
  requestId: key,
  topic: 't',
  records: [{ key, value: Buffer.from(key) }],
  expectedEndOffset: null,
  producer: null,
  ...options,
});

const read: StoreEvent = {
  type: 'readRequested',
  requestId: 'r',
  topic: 't',
  address: '127.0.0.1',
  fromOffset: 0,
  waitMs: 500,
};

const findAnswer = (effects: StoreEffect[], requestId: string): unknown =>
  effects.find((effect) => effect.type === 'answer' && effect.requestId === requestId);

// Guards against a store that accepts the claims of two VMs that expect the same end offset.
test('append with a wrong expected end offset is refused', () => {
  const state = createStoreState(1);
  applyEvent(state, append('a', { expectedEndOffset: 0 }));
  const effects = applyEvent(state, append('b', { expectedEndOffset: 0 }));
  expect(findAnswer(effects, 'b')).toMatchObject({ status: 412, body: { end_offset: 1 } });
});

// Guards against a store that accepts appends of a former leader or out of sequence, or stores a
// repeated append twice.
test('lower epoch or gap is refused, repeat gets its first answer', () => {
  const state = createStoreState(1);
  const producer = { name: 'lead', epoch: 2, sequence: 0 };
  applyEvent(state, append('a', { producer }));
  const repeated = applyEvent(state, append('a', { producer }));
  expect(findAnswer(repeated, 'a')).toMatchObject({ status: 200, body: { offset: 0 } });
  const fenced = applyEvent(
    state,
    append('b', { producer: { ...producer, epoch: 1, sequence: 7 } }),
  );
  expect(findAnswer(fenced, 'b')).toMatchObject({ status: 409, body: { reason: 'fenced' } });
  const gap = applyEvent(state, append('c', { producer: { ...producer, sequence: 5 } }));
  expect(findAnswer(gap, 'c')).toMatchObject({ status: 409, body: { reason: 'seq' } });
  expect(state.topics.get('t')!.records).toHaveLength(1);
});

// Guards against a long poll that misses a new record or is not answered at its deadline.
test('read waits for a record or its deadline', () => {
  const state = createStoreState(1);
  expect(applyEvent(state, read)).toEqual([{ type: 'wake', at: 500 }]);
  const woken = applyEvent(state, append('a'), 100);
  expect(woken.map(({ type }) => type)).toContain('answerBytes');
  applyEvent(state, { ...read, fromOffset: 1 }, 200);
  expect(applyEvent(state, { type: 'tick' }, 700).map(({ type }) => type)).toContain('answerBytes');
});

// Guards against an outage in which records are stored, and a lost answer whose record is not.
test('outage stores nothing, lost answer stores the record', () => {
  const state = createStoreState(1);
  state.faults.outage = 'silent';
  expect(applyEvent(state, append('a'))).toEqual([{ type: 'wake', at: null }]);
  state.faults.outage = 'refuse';
  expect(findAnswer(applyEvent(state, append('b')), 'b')).toMatchObject({ status: 503 });
  Object.assign(state.faults, { outage: 'none', lostShare: 1 });
  expect(findAnswer(applyEvent(state, append('c')), 'c')).toBeUndefined();
  expect(state.topics.get('t')!.records.map(({ key }) => key)).toEqual(['c']);
});

// Guards against a store that refuses the reads of every VM or topic, or the appends of the refused one.
test('refused reads are those of one address and topic', () => {
  const state = createStoreState(1);
  state.faults.refusedReads = { address: '127.0.1.1', topic: 't' };
  applyEvent(state, append('a'));
  const refused = applyEvent(state, { ...read, address: '127.0.1.1' });
  expect(findAnswer(refused, 'r')).toMatchObject({ status: 429 });
  expect(applyEvent(state, read).map(({ type }) => type)).toContain('answerBytes');
  const otherTopic = { ...read, address: '127.0.1.1', topic: 'u', waitMs: 0 };
  expect(applyEvent(state, otherTopic).map(({ type }) => type)).toContain('answerBytes');
  expect(findAnswer(applyEvent(state, append('b')), 'b')).toMatchObject({ status: 200 });
});

const heartbeat = (key: string, value = 'ready'): StoreEvent => ({
  type: 'heartbeatReceived',
  requestId: `${key}-heartbeat`,
  key,
  value: Buffer.from(value),
});

const setFaults = (faults: Partial<StoreState['faults']>): StoreEvent => ({
  type: 'faultsRequested',
  requestId: 'f',
  faults,
});

const listEntries = (state: StoreState): string[] =>
  (state.topics.get('keyed.servers')?.records ?? []).map(({ key, value }) => `${key}:${value}`);

// Guards against a soak in which no registry entry ever lapses, or each heartbeat is a change.
test('entry without heartbeats expires, and is back with the next', () => {
  const state = createStoreState(1);
  applyEvent(state, heartbeat('w1'), 0);
  applyEvent(state, heartbeat('w1'), 1500);
  applyEvent(state, { type: 'tick' }, 5999);
  expect(listEntries(state)).toEqual(['w1:ready']);
  applyEvent(state, { type: 'tick' }, 6000);
  expect(listEntries(state)).toEqual(['w1:ready', 'w1:']);
  applyEvent(state, heartbeat('w1', 'draining'), 7000);
  expect(listEntries(state)).toEqual(['w1:ready', 'w1:', 'w1:draining']);
});

// Guards against entries that outlast an outage in which the platform lets them lapse, or the reverse.
test.each([true, false])('entries expire in an outage: %s', (entriesExpire) => {
  const state = createStoreState(1);
  applyEvent(state, heartbeat('w1'), 0);
  applyEvent(state, setFaults({ outage: 'refuse', entriesExpire }), 100);
  const refused = applyEvent(state, heartbeat('w1'), 1500);
  expect(findAnswer(refused, 'w1-heartbeat')).toMatchObject({ status: 503 });
  applyEvent(state, setFaults({ outage: 'none' }), 5000);
  applyEvent(state, { type: 'tick' }, 5001);
  expect(listEntries(state)).toEqual(entriesExpire ? ['w1:ready', 'w1:'] : ['w1:ready']);
});

// Guards against a worker that left and whose entry is removed a second time, or stays.
test('empty heartbeat removes the entry once', () => {
  const state = createStoreState(1);
  applyEvent(state, heartbeat('w1'), 0);
  applyEvent(state, heartbeat('w1', ''), 100);
  applyEvent(state, heartbeat('w1', ''), 200);
  applyEvent(state, { type: 'tick' }, 9000);
  expect(listEntries(state)).toEqual(['w1:ready', 'w1:']);
});
