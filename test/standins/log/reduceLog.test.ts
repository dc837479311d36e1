import { expect, test } from '@jest/globals';
import { createLogState } from '../../../standins/log/createLogState.js';
import type { LogServiceEvent } from '../../../standins/log/LogServiceEvent.js';
import { reduceLog } from '../../../standins/log/reduceLog.js';

const createLog = (appendsPerSecond = 0) => {
  const state = createLogState({ retentionMs: 1000, appendsPerSecond });
  return (at: number, event: LogServiceEvent) =>
    reduceLog(state, { ...event, at, wall: at }).filter((effect) => effect.type !== 'wake');
};
const append = (requestId: string, ...records: unknown[]): LogServiceEvent => ({
  type: 'appendRequested',
  requestId,
  stream: 's',
  records,
});
const read = (requestId: string, from: number, waitMs = 0): LogServiceEvent => ({
  type: 'readRequested',
  requestId,
  stream: 's',
  from,
  limit: 10,
  waitMs,
});

// Guards against a reader that cannot continue when records at its offset have expired.
test('read of an expired offset starts at the oldest record', () => {
  const applyAt = createLog();
  applyAt(0, append('a', 'old'));
  applyAt(900, append('b', 'new'));
  expect(applyAt(1500, read('c', 0))).toMatchObject([
    {
      status: 200,
      body: { records: [{ offset: 1, data: 'new' }], nextOffset: 2, oldestOffset: 1 },
    },
  ]);
});

// Guards against a long poll that misses an append, is answered twice or outlasts its wait time.
test('long poll ends with an append or its wait time', () => {
  const applyAt = createLog();
  expect(applyAt(0, read('p', 0, 500))).toEqual([]);
  expect(applyAt(10, append('a', 1))).toMatchObject([
    { requestId: 'a', body: { firstOffset: 0 } },
    { requestId: 'p', body: { records: [{ offset: 0, data: 1 }], nextOffset: 1 } },
  ]);
  expect(applyAt(600, { type: 'tick' })).toEqual([]);
  applyAt(700, read('q', 1, 100));
  expect(applyAt(800, { type: 'tick' })).toMatchObject([
    { requestId: 'q', body: { nextOffset: 1 } },
  ]);
});

// Guards against a lost answer whose append was not stored.
test('append whose answer is lost is stored', () => {
  const applyAt = createLog();
  applyAt(0, { type: 'faultsRequested', requestId: 'f', faults: { loseAppendAnswers: 1 } });
  expect(applyAt(1, append('a', 1))).toMatchObject([{ type: 'destroyConnection', requestId: 'a' }]);
  expect(applyAt(2, append('b', 2))).toMatchObject([{ type: 'answer', body: { firstOffset: 1 } }]);
});

// Guards against an outage that still stores appends or leaves long polls without an answer.
test('outage refuses appends and pending reads', () => {
  const applyAt = createLog();
  applyAt(0, read('p', 0, 500));
  const fault = { type: 'faultsRequested', requestId: 'f', faults: { outage: true } } as const;
  expect(applyAt(1, fault)).toMatchObject([{ requestId: 'p', status: 503 }, { status: 200 }]);
  expect(applyAt(2, append('a', 1))).toMatchObject([{ status: 503 }]);
  applyAt(3, { ...fault, faults: { outage: false } });
  expect(applyAt(4, read('b', 0))).toMatchObject([{ body: { records: [], nextOffset: 0 } }]);
});

// Guards against a rate limit that does not recover after it was exceeded.
test('append rate recovers after the limit', () => {
  const applyAt = createLog(2);
  const statuses = [0, 1, 2, 600].map((at) => applyAt(at, append('a', at))[0]);
  expect(statuses).toMatchObject([200, 200, 429, 200].map((status) => ({ status })));
});
