import { expect, test } from '@jest/globals';
import type { Submission } from '../../src/control/jobs/Submission.js';
import { encodeRecord } from '../../src/adapters/journal/encodeRecord.js';
import { addDueOccurrences } from '../../src/control/plans/addDueOccurrences.js';
import { buildProgress } from '../../src/control/plans/buildProgress.js';
import type { JobPlan } from '../../src/control/plans/JobPlan.js';
import { advanceTime } from './simulation/advanceTime.js';
import { createFakePlatform } from './simulation/createFakePlatform.js';
import { defaultStep } from './simulation/defaultStep.js';
import { getJobState } from './simulation/getJobState.js';
import { simulationStartMs } from './simulation/simulationStartMs.js';
import { submitJob } from './simulation/submitJob.js';

const maxRecordBytes = 262_144;

const now = { at: 0, wall: simulationStartMs, responsiveAt: 0 };

const buildPlan = (count: number, occurrences: number): JobPlan => {
  const need = { cpu: 50, memMb: 10, gpu: 0 };
  const step = { ...defaultStep, count, need, estimateMs: 100 };
  const submission: Submission = {
    id: 'a'.padStart(16, '0'),
    queue: 'batch',
    queueSettings: null,
    service: 'svc',
    workspace: 'ws',
    acceptedAt: simulationStartMs,
    definition: {
      spec: '',
      steps: [step],
      schedule: { count: occurrences, startAt: simulationStartMs, intervalMs: 0 },
    },
  };
  return {
    id: submission.id,
    submission,
    state: 'running',
    endedAt: 0,
    priority: 1,
    maxAttempts: 3,
    stretch: 1,
    targetLatencyMs: 0,
    peakGpu: 0,
    occurrences: new Map(),
    nextOccurrence: 0,
    parts: null,
  };
};

/** Creates all occurrences that may be open at once, whose tasks are done but for the last one. */
const openOccurrences = (plan: JobPlan): void => {
  const previous = plan.nextOccurrence;
  addDueOccurrences(plan, now);
  plan.occurrences.forEach(({ steps }) =>
    steps[0]!.tasks.slice(1).forEach((task) => {
      task.state = 'done';
      task.run = 1;
      task.workerId = 'worker-1';
      task.startedAt = 1;
    }),
  );
  if (plan.nextOccurrence > previous) openOccurrences(plan);
};

const smallNeed = { cpu: 50, memMb: 10, gpu: 0 };

// Guards against stored progress that grows with each open occurrence until the store refuses the record: every
// leader's term ended at its first append, and all other jobs were held up.
test('a job of many open occurrences holds up no other', () => {
  const platform = createFakePlatform({ vms: 1, workers: 2 });
  advanceTime(platform, 3000);
  submitJob(platform, 'a', {
    runMs: 200,
    // No worker is in that rack, so that no occurrence is finished.
    steps: [
      { count: 2000, need: smallNeed },
      { count: 1, need: smallNeed, requiredLabel: 'r1' },
    ],
    schedule: { count: 8, startAt: simulationStartMs, intervalMs: 100 },
  });
  advanceTime(platform, 4000);
  submitJob(platform, 'b');
  advanceTime(platform, 3000);
  expect(platform.logs.filter(({ code }) => code === 'term_ended')).toEqual([]);
  expect(getJobState(platform, 'b')).toBe('completed');
}, 60_000);

// Guards against a job that stops for good: a due occurrence has to be created as soon as an earlier one is finished.
test('occurrences beyond many open tasks follow as earlier ones finish', () => {
  const plan = buildPlan(480, 40);
  openOccurrences(plan);
  expect([...plan.occurrences.keys()]).toEqual(Array.from({ length: 12 }, (_, number) => number));
  plan.occurrences.delete(3);
  openOccurrences(plan);
  expect(plan.occurrences.has(12)).toBe(true);
  expect(plan.nextOccurrence).toBe(13);
});

// Guards against an occurrence that is never created because it alone has more tasks than may be open at once.
test('one large occurrence is created', () => {
  const plan = buildPlan(8000, 2);
  openOccurrences(plan);
  expect([...plan.occurrences.keys()]).toEqual([0]);
});

// Guards against rows of done tasks that hold what no successor needs: the worker and the time of their last run.
test('the progress of thousands of done tasks fits into one record', () => {
  const plan = buildPlan(12_000, 1);
  openOccurrences(plan);
  const progress = buildProgress(plan, now);
  expect(progress.tasks).toHaveLength(11_999);
  const { key, value } = encodeRecord({ type: 'progress', id: plan.id, progress });
  expect(key.length + value.length).toBeLessThan(maxRecordBytes);
});

// Guards against a job whose submission outgrows a record: callers got 503 with a Retry-After, and would retry in vain.
test('a job that no record can hold is refused with the bound', () => {
  const platform = createFakePlatform({ vms: 1, workers: 1 });
  advanceTime(platform, 3000);
  const tooLarge = submitJob(platform, 'a', { steps: [{ requiredLabel: 'r'.repeat(262_000) }] });
  const large = submitJob(platform, 'b', { steps: [{ requiredLabel: 'r'.repeat(260_000) }] });
  advanceTime(platform, 200);
  expect(platform.answers.get(tooLarge)).toMatchObject({
    reason: 'job-too-large',
    retryAfterMs: 0,
  });
  expect(platform.answers.get(tooLarge)).toMatchObject({
    detail: expect.stringContaining(String(maxRecordBytes)),
  });
  expect(platform.answers.get(large)).toEqual({ type: 'accepted' });
});
