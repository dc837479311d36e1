import { expect, test } from '@jest/globals';
import { measureLoad } from '../../../tools/soak/measureLoad.js';

// Guards against a report that can't tell a store that stood still from a machine without a free processor.
test('load summary has the worst of machine, harness and store', () => {
  const time = '2026-12-06T08:00:00.000Z';
  const samples = [
    { time, busyShare: 0.5, loadAverage: 9, lagMs: 0, cpuMs: 900 },
    { time, busyShare: 1, loadAverage: 8, lagMs: 40, cpuMs: 30 },
  ];
  const longestStoreStall = { time, lagMs: 3100, cpuMs: 12 };
  const stalls = [{ ...longestStoreStall, lagMs: 300 }, longestStoreStall];
  const lines = [
    '{"program":"store","listening":1}',
    ...stalls.map((stall) => JSON.stringify({ ...stall, program: 'store', code: 'loop_lag' })),
  ];
  expect(measureLoad(samples, lines)).toEqual({
    meanBusyShare: 0.75,
    maxBusyShare: 1,
    maxLoadAverage: 9,
    longestHarnessStall: { time, lagMs: 40, cpuMs: 30 },
    longestStoreStall,
  });
});
