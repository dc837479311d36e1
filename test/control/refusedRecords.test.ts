import { expect, test } from '@jest/globals';
import type { EncodedRecord } from '../../src/adapters/journal/EncodedRecord.js';
import { requeueTask } from '../../src/control/runs/requeueTask.js';
import { advanceTime } from './simulation/advanceTime.js';
import { createFakePlatform } from './simulation/createFakePlatform.js';
import { endRun } from './simulation/endRun.js';
import type { FakePlatform } from './simulation/FakePlatform.js';
import { findLeader } from './simulation/findLeader.js';
import { findRunViolations } from './simulation/findRunViolations.js';
import { getJobState } from './simulation/getJobState.js';
import { simulationStartMs } from './simulation/simulationStartMs.js';
import { submitJob } from './simulation/submitJob.js';

const smallNeed = { cpu: 50, memMb: 10, gpu: 0 };

const listTermEnds = ({ logs }: FakePlatform) => logs.filter(({ code }) => code === 'term_ended');

/** Whether the record is progress of the job with the row of a task, and not just its end. */
const isProgressOf =
  (id: string) =>
  ({ key, value }: EncodedRecord): boolean =>
    key === `p/${id.padStart(16, '0')}` && value.length > 22;

const startPlatform = (): FakePlatform => {
  const platform = createFakePlatform({ vms: 2, workers: 2 });
  advanceTime(platform, 3000);
  return platform;
};

// Guards against a refused record of one job that ends the term of each leader in turn, which stops all other jobs.
test('a refused record ends no term and holds up no other job', () => {
  const platform = startPlatform();
  platform.store.refusesRecord = isProgressOf('a');
  ['a', 'b', 'c'].forEach((id) =>
    submitJob(platform, id, { runMs: 500, steps: [{ count: 3, need: smallNeed }] }),
  );
  advanceTime(platform, 3000);
  expect(['b', 'c'].map((id) => getJobState(platform, id))).toEqual(['completed', 'completed']);
  expect(platform.runs).toHaveLength(6);
  expect(listTermEnds(platform)).toEqual([]);
  expect(platform.logs.find(({ code }) => code === 'records_refused')?.fields).toMatchObject({
    requestId: 'a'.padStart(16, '0'),
    types: 'progress',
  });
});

// Guards against a job whose progress is refused for some seconds and that never goes on, or whose tasks run twice.
test('a job goes on once its progress is stored', () => {
  const platform = startPlatform();
  submitJob(platform, 'a', {
    runMs: 1000,
    steps: [
      { count: 3, need: smallNeed },
      { count: 3, need: smallNeed, after: [0] },
    ],
  });
  submitJob(platform, 'b', { runMs: 1000, steps: [{ count: 3, need: smallNeed }] });
  advanceTime(platform, 800);
  platform.store.refusesRecord = isProgressOf('a');
  advanceTime(platform, 4000);
  expect(getJobState(platform, 'b')).toBe('completed');
  // The ends of the refused job are listed until they are stored.
  const ends = [...platform.workers.values()].flatMap(
    ({ unacknowledgedEnds }) => unacknowledgedEnds,
  );
  expect(ends.length).toBeGreaterThan(0);
  platform.store.refusesRecord = () => false;
  advanceTime(platform, 6000);
  expect(getJobState(platform, 'a')).toBe('completed');
  expect(platform.runs).toHaveLength(9);
  expect(findRunViolations(platform)).toEqual([]);
  expect([...platform.workers.values()].flatMap((worker) => worker.unacknowledgedEnds)).toEqual([]);
});

// Guards against a job that can't be stored and holds up the ends of other jobs on its workers for good.
test('a job whose progress is always refused fails', () => {
  const platform = startPlatform();
  submitJob(platform, 'a', { runMs: 60_000, steps: [{ count: 4, need: smallNeed }] });
  advanceTime(platform, 1000);
  platform.store.refusesRecord = isProgressOf('a');
  endRun(platform, platform.runs[0]!, 'done');
  submitJob(platform, 'b', { runMs: 500, steps: [{ count: 20, need: smallNeed }] });
  advanceTime(platform, 15_000);
  expect(['a', 'b'].map((id) => getJobState(platform, id))).toEqual(['failed', 'completed']);
  expect(platform.runs.filter(({ endedAt }) => endedAt === null)).toEqual([]);
  expect([...platform.workers.values()].flatMap((worker) => worker.unacknowledgedEnds)).toEqual([]);
  expect(listTermEnds(platform)).toEqual([]);
});

// Guards against an append that is too large as a whole, although each of its records is not.
test('an append that is refused as a whole is split', () => {
  const platform = startPlatform();
  platform.storeLimits = { ...platform.storeLimits, maxCallBytes: 700 };
  const ids = ['1', '2', '3', '4', '5', '6', '7', '8'];
  ids.forEach((id) =>
    submitJob(platform, id, { runMs: 500, steps: [{ count: 5, need: smallNeed }] }),
  );
  advanceTime(platform, 6000);
  expect(ids.map((id) => getJobState(platform, id))).toEqual(ids.map(() => 'completed'));
  expect(listTermEnds(platform)).toEqual([]);
  expect(findRunViolations(platform)).toEqual([]);
});

// Guards against a refused total of use that ends terms, or holds up the ends that it counts.
test('a refused total of use holds up nothing', () => {
  const platform = startPlatform();
  platform.store.refusesRecord = ({ key }) => key.startsWith('u/');
  ['a', 'b'].forEach((id) =>
    submitJob(platform, id, { runMs: 500, steps: [{ count: 3, need: smallNeed }] }),
  );
  advanceTime(platform, 3000);
  expect(['a', 'b'].map((id) => getJobState(platform, id))).toEqual(['completed', 'completed']);
  expect([...platform.workers.values()].flatMap((worker) => worker.unacknowledgedEnds)).toEqual([]);
  expect(listTermEnds(platform)).toEqual([]);
});

// Guards against an end of a refused job that is acknowledged without a record, because it came from a run that was
// given up as lost: the next leader would run the task again.
test('a late end of a refused job is not acknowledged', () => {
  const platform = createFakePlatform({ vms: 2, workers: 2 });
  advanceTime(platform, 3000);
  submitJob(platform, 'a', {
    runMs: 12_000,
    steps: [
      { count: 1, need: smallNeed },
      // No worker has that label, so that the job goes on.
      { count: 1, need: smallNeed, requiredLabel: 'r9' },
    ],
  });
  advanceTime(platform, 1000);
  const [first] = platform.runs;
  const lost = platform.workers.get(first!.workerId)!;
  const { term } = findLeader(platform)!.state;
  // The leader takes the run for lost and starts the task on the other worker.
  const task = term!.workers.get(lost.id)!.tasks.get(first!.task)!;
  lost.partitioned = true;
  requeueTask(term!, task, 'lease-over', {
    at: platform.now,
    wall: simulationStartMs + platform.now,
    responsiveAt: platform.now,
  });
  term!.workers.get(lost.id)!.quarantinedUntil = platform.now + 60_000;
  advanceTime(platform, 1000);
  platform.store.refusesRecord = isProgressOf('a');
  endRun(platform, platform.runs[1]!, 'stopped');
  advanceTime(platform, 300);
  endRun(platform, first!, 'done');
  lost.partitioned = false;
  advanceTime(platform, 4000);
  expect(lost.unacknowledgedEnds).toHaveLength(1);
});
