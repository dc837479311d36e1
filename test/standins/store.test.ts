import { expect, test } from '@jest/globals';
import { createStoreState } from '../../standins/store/createStoreState.js';
import { reduceStore } from '../../standins/store/reduceStore.js';
import type { StoreEffect } from '../../standins/store/StoreEffect.js';
import type { StoreEvent } from '../../standins/store/StoreEvent.js';
import type { StoreState } from '../../standins/store/StoreState.js';

const play = (state: StoreState, event: StoreEvent, at = 0): StoreEffect[] =>
  reduceStore(state, { ...event, at, wall: at });

const append = (
  key: string,
  options: Partial<Extract<StoreEvent, { type: 'appendRequested' }>> = {},
): StoreEvent => ({
  type: 'appendRequested',
  requestId: key,
  topic: 't',
  records: [{ key, value: Buffer.from(key) }],
  endsAt: null,
  producer: null,
  ...options,
});

const read: StoreEvent = {
  type: 'readRequested',
  requestId: 'r',
  topic: 't',
  from: 0,
  waitMs: 500,
};

const findStatus = (effects: StoreEffect[], requestId: string): unknown =>
  effects.find((effect) => effect.type === 'answer' && effect.requestId === requestId);

// Guards against a stand-in that lets two leads claim at the same end.
test('an append at another end than the topic has is refused', () => {
  const state = createStoreState(1);
  play(state, append('a', { endsAt: 0 }));
  const effects = play(state, append('b', { endsAt: 0 }));
  expect(findStatus(effects, 'b')).toMatchObject({ status: 412, body: { end_offset: 1 } });
});

// Guards against a stand-in that lets a former lead write.
test('a lower epoch is fenced and a repeat gets its first answer', () => {
  const state = createStoreState(1);
  const producer = { name: 'lead', epoch: 2, sequence: 0 };
  play(state, append('a', { producer }));
  const repeated = play(state, append('a', { producer }));
  expect(findStatus(repeated, 'a')).toMatchObject({ status: 200, body: { offset: 0 } });
  const fenced = play(state, append('b', { producer: { ...producer, epoch: 1, sequence: 7 } }));
  expect(findStatus(fenced, 'b')).toMatchObject({ status: 409, body: { reason: 'fenced' } });
  const gap = play(state, append('c', { producer: { ...producer, sequence: 5 } }));
  expect(findStatus(gap, 'c')).toMatchObject({ status: 409, body: { reason: 'seq' } });
  expect(state.topics.get('t')!.records).toHaveLength(1);
});

// Guards against readers that are woken too late, or by nothing.
test('a read waits for a record, or for the end of its time', () => {
  const state = createStoreState(1);
  expect(play(state, read)).toEqual([{ type: 'wake', at: 500 }]);
  const woken = play(state, append('a'), 100);
  expect(woken.map(({ type }) => type)).toContain('answerBytes');
  play(state, { ...read, from: 1 }, 200);
  expect(play(state, { type: 'tick' }, 700).map(({ type }) => type)).toContain('answerBytes');
});

// Guards against an outage in which something is stored after all.
test('an outage stores nothing, a lost answer stores the record', () => {
  const state = createStoreState(1);
  state.faults.outage = 'silent';
  expect(play(state, append('a'))).toEqual([{ type: 'wake', at: null }]);
  state.faults.outage = 'refuse';
  expect(findStatus(play(state, append('b')), 'b')).toMatchObject({ status: 503 });
  state.faults = { outage: 'none', lostShare: 1, delayMs: 0 };
  expect(findStatus(play(state, append('c')), 'c')).toBeUndefined();
  expect(state.topics.get('t')!.records.map(({ key }) => key)).toEqual(['c']);
});
