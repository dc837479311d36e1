import { expect, test } from '@jest/globals';
import { encodeRecord } from '../../src/adapters/journal/encodeRecord.js';
import { advanceTime } from './simulation/advanceTime.js';
import { createFakePlatform, killVm } from './simulation/createFakePlatform.js';
import { findLeader } from './simulation/findLeader.js';
import { findRunViolations } from './simulation/findRunViolations.js';
import { findUpVmIndex } from './simulation/findUpVmIndex.js';
import { getJobState } from './simulation/getJobState.js';
import { readNewestRecords } from './simulation/readNewestRecords.js';
import { simulationStartMs } from './simulation/simulationStartMs.js';
import { submitJob } from './simulation/submitJob.js';

const maxWaitingTasks = 600;
const smallNeed = { cpu: 1000, memMb: 100, gpu: 0 };

// Guards against a job with many due occurrences, whose tasks were all created at once: the leader hung, exceeded
// its heap and ended, and so did each of its successors.
test('due occurrences are created as capacity allows', () => {
  const platform = createFakePlatform({ vms: 1, workers: 2 });
  advanceTime(platform, 3000);
  const startAt = simulationStartMs - 10_000 * 60_000;
  submitJob(platform, 'a', {
    runMs: 60_000,
    steps: [{ count: 12, need: smallNeed }],
    schedule: { count: 10_000, startAt, intervalMs: 60_000 },
  });
  advanceTime(platform, 200);
  const [plan] = [...findLeader(platform)!.state.term!.plans.values()];
  const created = [...plan!.occurrences.values()].flatMap(({ steps }) => steps[0]!.tasks);
  expect(created.filter(({ state }) => state === 'waiting').length).toBeLessThan(maxWaitingTasks);
  expect(platform.runs.length).toBeGreaterThan(100);
}, 60_000);

// Guards against stored progress that grows with each occurrence until the store refuses the record, and against
// finished occurrences that a new leader runs again.
test('finished occurrences take no room in the stored progress', () => {
  const platform = createFakePlatform({ vms: 2, workers: 2 });
  advanceTime(platform, 3000);
  submitJob(platform, 'a', {
    runMs: 100,
    steps: [{ count: 4, need: smallNeed }],
    schedule: { count: 150, startAt: simulationStartMs, intervalMs: 100 },
  });
  advanceTime(platform, 9000);
  const measureBytes = () =>
    readNewestRecords(platform, 'runs')
      .filter((record) => record.type === 'progress')
      .map((record) => encodeRecord(record).value.length);
  expect(measureBytes()).toHaveLength(1);
  expect(measureBytes()[0]).toBeLessThan(2000);
  killVm(findLeader(platform)!);
  advanceTime(platform, 15_000);
  expect(getJobState(platform, 'a', findUpVmIndex(platform))).toBe('completed');
  expect(findRunViolations(platform)).toEqual([]);
  expect(new Set(platform.runs.map(({ task }) => task)).size).toBe(600);
}, 60_000);
