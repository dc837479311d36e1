import { expect, test } from '@jest/globals';
import type { UsageRecord } from '../../../src/core/usage/UsageRecord.js';
import type { WorkerUsageLine } from '../../../src/core/usage/WorkerUsageLine.js';
import { makeUsage } from '../../fixtures/makeUsage.js';
import { makeRecorder } from '../../fixtures/makeRecorder.js';

const makeStart = (taskId: string): UsageRecord => makeUsage('taskStarted', taskId, { wall: 1000 });
const makeLine = (taskId: string, ranMs: number, ended = true): WorkerUsageLine => ({
  ...{ workspace: 'x', jobId: 'j1', accelerators: 2 },
  ...{ taskId, ranMs, ended },
});

// Guards against differences that are missed, invented or corrected twice.
test('late report corrects the record once', () => {
  const { state, push } = makeRecorder();
  const ended = ['exact', 'late', 'running'].flatMap((id) => [
    makeStart(id),
    makeUsage('taskEnded', id, { wall: 11_000 }),
  ]);
  const unknown = makeUsage('taskUnknown', 'unknown', { fromWall: 5000, toWall: 9000 });
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
  const event = { type: 'workerUsageRead', workerId: 'w1', lines } as const;
  push(event, 20_000);
  push(event, 30_000);
  expect(state.usage.open.slice(records.length)).toMatchObject([
    { kind: 'correction', id: 'late/correction', deltaMs: 2000, wall: 20_000 },
    { kind: 'correction', id: 'unknown/correction', deltaMs: 1500, wall: 20_000 },
  ]);
  expect([...state.usage.runs.keys()]).toEqual(['running', 'open']);
});
