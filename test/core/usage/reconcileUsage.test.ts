import { expect, test } from '@jest/globals';
import type { UsageRecord } from '../../../src/core/usage/UsageRecord.js';
import type { WorkerUsageLine } from '../../../src/core/usage/WorkerUsageLine.js';
import { findEffects } from '../../fixtures/findEffects.js';
import { makeLeaseHolder } from '../../fixtures/makeLeaseHolder.js';
import { makeUsageRecord } from '../../fixtures/makeUsageRecord.js';
import { makeRecorder } from '../../fixtures/makeRecorder.js';

const makeStart = (taskId: string): UsageRecord =>
  makeUsageRecord('taskStarted', taskId, { wall: 1000 });
const makeLine = (taskId: string, ranMs: number, ended = true): WorkerUsageLine => ({
  ...{ seq: 1, workspace: 'x', jobId: 'j1', accelerators: 2 },
  ...{ taskId, ranMs, ended },
});

// Guards against differences from a worker's report that are missed, invented or corrected twice.
test('worker report corrects a record once', () => {
  const { state, push } = makeRecorder();
  const ended = ['exact', 'late', 'running'].flatMap((id) => [
    makeStart(id),
    makeUsageRecord('taskEnded', id, { wall: 11_000 }),
  ]);
  const unknown = makeUsageRecord('taskUnknown', 'unknown', { fromWall: 5000, toWall: 9000 });
  const records = [...ended, makeStart('unknown'), unknown, makeStart('open')];
  push({ type: 'usageNoted', records });
  const lines = [
    makeLine('exact', 10_900),
    makeLine('late', 12_000),
    makeLine('running', 50, false),
    makeLine('unknown', 5500),
    makeLine('open', 50),
    makeLine('foreign', 50),
  ];
  const event = { type: 'workerUsageRead', workerId: 'w1', incarnation: 'a', lines } as const;
  push(event, 20_000);
  push(event, 30_000);
  expect(state.usage.unsentRecords.slice(records.length)).toMatchObject([
    { kind: 'correction', id: 'late/correction', deltaMs: 2000, wall: 20_000 },
    { kind: 'correction', id: 'unknown/correction', deltaMs: 1500, wall: 20_000 },
  ]);
  expect([...state.usage.recordedRuns.keys()]).toEqual(['running', 'open']);
});

// Guards against a line of a worker's report that is never compared because it was read before the
// task's end was recorded.
test('report of an open task is read again', () => {
  const daemon = makeLeaseHolder(['w1']);
  const lines = [makeLine('early', 5000), { ...makeLine('late', 8000), seq: 2 }];
  const event = { type: 'workerUsageRead', workerId: 'w1', incarnation: 'a', lines } as const;
  const makeEnd = (id: string) => makeUsageRecord('taskEnded', id, { wall: 6000 });
  daemon.push({ type: 'usageNoted', records: [makeStart('early'), makeEnd('early')] });
  daemon.push({ type: 'usageNoted', records: [makeStart('late')] });
  daemon.push(event);
  daemon.push(event);
  expect(daemon.state.usage.cursors.get('w1')?.comparedSeq).toBe(1);
  daemon.push({ type: 'usageNoted', records: [makeEnd('late')] });
  daemon.push(event);
  expect(daemon.state.usage.cursors.get('w1')?.comparedSeq).toBe(2);
  const records = daemon.state.usage.unsentRecords.filter(({ kind }) => kind === 'correction');
  expect(records).toMatchObject([{ id: 'late/correction', deltaMs: 3000 }]);
});

// Guards against reading the usage of a worker that another scheduler may hold by now.
test('usage is read from held workers only', () => {
  const daemon = makeLeaseHolder(['w1']);
  daemon.state.usage.cursors.clear();
  const findReads = () => findEffects(daemon.push({ type: 'tick' }), 'readWorkerUsage');
  expect(findReads()).toMatchObject([{ workerId: 'w1', after: 0 }]);
  daemon.advance(10_000);
  expect(findReads()).toEqual([]);
});
