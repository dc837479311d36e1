import { expect, test } from '@jest/globals';
import fc from 'fast-check';
import { buildInvoice } from '../../../src/core/usage/buildInvoice.js';
import { makeUsageRecord } from '../../fixtures/makeUsageRecord.js';
import type { UsageRecord } from '../../../src/core/usage/UsageRecord.js';

const makeRequestsRecord = (id: string, workspace: string, wall: number): UsageRecord => ({
  ...{ kind: 'requests', id, workspace, wall },
  ...{ answered: 5, failed: 1, unknown: 2, busyMs: 70 },
});

const records = [
  makeUsageRecord('taskStarted', 'j1.1.0', { wall: 50 }),
  makeUsageRecord('taskEnded', 'j1.1.0', { wall: 150 }),
  // The end of this task was not observed.
  makeUsageRecord('taskStarted', 'j1.1.1', { wall: 110 }),
  makeUsageRecord('taskUnknown', 'j1.1.1', { fromWall: 140, toWall: 190 }),
  makeUsageRecord('taskUnknown', 'j1.1.1', { id: 'second', fromWall: 192, toWall: 194 }),
  makeUsageRecord('correction', 'j1.1.1', { deltaMs: 20, wall: 195 }),
  makeUsageRecord('taskStarted', 'j1.1.2', { wall: 120 }),
  makeUsageRecord('taskEnded', 'j1.1.3', { wall: 130 }),
  // An unknown interval inside a run whose end another scheduler observed later.
  makeUsageRecord('taskStarted', 'j1.2.0', { wall: 100 }),
  makeUsageRecord('taskUnknown', 'j1.2.0', { fromWall: 120, toWall: 130 }),
  makeUsageRecord('taskEnded', 'j1.2.0', { wall: 160 }),
  makeRequestsRecord('m1', 'x', 100),
  makeRequestsRecord('m2', 'x', 200),
  makeRequestsRecord('m3', 'y', 100),
];

// Guards against usage that is billed twice, guessed, or taken from another period or workspace.
test('known usage is billed once', () => {
  const invoice = buildInvoice([...records, ...records], 'x', 100, 200);
  expect(invoice.jobs).toMatchObject([
    {
      jobId: 'j1',
      acceleratorMs: 100 + 60 + 40 + 40 + 60,
      lines: [
        { kind: 'run', taskId: 'j1.1.0', fromWall: 100, toWall: 150, acceleratorMs: 100 },
        { kind: 'run', taskId: 'j1.1.1', fromWall: 110, toWall: 140, acceleratorMs: 60 },
        { kind: 'correction', taskId: 'j1.1.1', deltaMs: 20, acceleratorMs: 40 },
        { kind: 'run', taskId: 'j1.2.0', fromWall: 100, toWall: 120, acceleratorMs: 40 },
        { kind: 'run', taskId: 'j1.2.0', fromWall: 130, toWall: 160, acceleratorMs: 60 },
      ],
    },
  ]);
  expect(invoice.acceleratorMs).toBe(300);
  expect(invoice.requests).toEqual({ answered: 5, failed: 1, unknown: 2, busyMs: 70 });
  expect(invoice.unknown).toMatchObject([
    { taskId: 'j1.1.1', fromWall: 140, toWall: 190, settledBy: 'j1.1.1/correction' },
    { taskId: 'j1.1.1', fromWall: 192, toWall: 194 },
    { taskId: 'j1.2.0', fromWall: 120, toWall: 130, settledBy: null },
  ]);
  expect(invoice.openTasks).toMatchObject([{ taskId: 'j1.1.2', startedWall: 120 }]);
  expect(invoice.tasksWithoutStart).toMatchObject([{ taskId: 'j1.1.3', endedWall: 130 }]);
  expect(invoice.repeatedRecords).toBe(13);
});

// Guards against invoices that depend on the order in which recorders append.
test('order and repetition of records do not change the sums', () => {
  const { repeatedRecords, ...expected } = buildInvoice(records, 'x', 100, 200);
  expect(repeatedRecords).toBe(0);
  const shuffledArbitrary = fc.shuffledSubarray([...records, ...records], {
    minLength: records.length * 2,
  });
  fc.assert(
    fc.property(shuffledArbitrary, (shuffled) => {
      expect(buildInvoice(shuffled, 'x', 100, 200)).toMatchObject(expected);
    }),
    { seed: 7, numRuns: 100 },
  );
});

// Guards against usage that is lost or billed twice where two periods meet.
test('adjacent periods add up', () => {
  const first = buildInvoice(records, 'x', 0, 137).acceleratorMs;
  const rest = buildInvoice(records, 'x', 137, 300).acceleratorMs;
  expect(first + rest).toBe(buildInvoice(records, 'x', 0, 300).acceleratorMs);
});

// Guards against an invoice that omits requests whose counts were lost with their gateway.
test('interval without counts is listed in every invoice', () => {
  const gap: UsageRecord = {
    ...{ kind: 'requestsUnknown', id: 'u1', workspace: '*', gateway: 'vm-1/gateway' },
    ...{ fromWall: 80, toWall: 120 },
  };
  const invoices = ['x', 'y'].map((name) => buildInvoice([...records, gap], name, 100, 200));
  expect(invoices.map(({ unknownRequests }) => unknownRequests)).toEqual(
    Array(2).fill([{ gateway: 'vm-1/gateway', fromWall: 100, toWall: 120 }]),
  );
});
