import { expect, test } from '@jest/globals';
import fc from 'fast-check';
import { encodeRecord } from '../../src/adapters/journal/encodeRecord.js';
import type { RunsRecord } from '../../src/control/journal/RunsRecord.js';
import { measureRecordBytes } from '../../src/control/progress/measureRecordBytes.js';

// The measure may be this much larger than the record.
const maxExcessShare = 0.1;
const maxExcessBytes = 160;

const text = fc.string({ unit: 'grapheme', maxLength: 300 });
const jobId = fc.constantFrom('00000000000000aa', 'ffffffffffffffff');
const count = fc.oneof(fc.nat({ max: 300 }), fc.nat({ max: 70_000 }), fc.nat());

const tasks = fc.array(
  fc.record({
    occurrence: count,
    step: fc.nat({ max: 63 }),
    index: fc.nat({ max: 4095 }),
    state: fc.constantFrom('waiting', 'started', 'done'),
    run: count,
    failures: count,
    workerId: text,
    checkpoint: text,
    startedAt: fc.constantFrom(0, 1_700_000_000_123),
  }),
  { maxLength: 40 },
);
const head = fc.record({ nextOccurrence: count, openOccurrences: fc.array(count) });

const records: fc.Arbitrary<RunsRecord> = fc.oneof(
  fc.record({ type: fc.constant('progressPart' as const), id: jobId, part: count, tasks }),
  fc.record({ type: fc.constant('progressHead' as const), id: jobId, head }),
  fc.record({
    type: fc.constant('progress' as const),
    id: jobId,
    progress: fc.tuple(head, tasks).map(([occurrences, rows]) => ({
      state: 'running' as const,
      endedAt: 1_700_000_000_123,
      ...occurrences,
      tasks: rows,
    })),
  }),
  fc.record({
    type: fc.constant('speeds' as const),
    part: fc.nat({ max: 20 }),
    speeds: fc.array(
      fc.record({
        workerId: text,
        logSlowdown: fc.record({ mean: fc.double(), variance: fc.double() }),
      }),
    ),
  }),
);

const step = fc.record({
  count,
  need: fc.record({ cpu: fc.double(), memMb: fc.double(), gpu: fc.double() }),
  estimateMs: fc.double(),
  after: fc.array(fc.nat({ max: 63 })),
  gang: fc.boolean(),
  sameRack: fc.boolean(),
  checkpointing: fc.boolean(),
  requiredLabel: text,
  dataRack: text,
  maxPerWorker: count,
  speculative: fc.boolean(),
  longRunning: fc.boolean(),
  fills: fc.boolean(),
});
const queueSettings = fc.record({
  priority: fc.double(),
  maxAttempts: fc.double(),
  stretch: fc.double(),
  targetLatencyMs: fc.double(),
});
const submissions = fc.record({
  id: jobId,
  queue: text,
  queueSettings,
  service: text,
  workspace: text,
  acceptedAt: fc.double(),
  definition: fc.record({
    spec: text,
    steps: fc.array(step, { minLength: 1, maxLength: 64 }),
    schedule: fc.record({ count: fc.double(), startAt: fc.double(), intervalMs: fc.double() }),
  }),
});

// Guards against a submission that is accepted and that the store then refuses.
test('the measure of a submission is an upper bound of its size', () => {
  fc.assert(
    fc.property(submissions, (submission) => {
      const { key, value } = encodeRecord({ type: 'submission', submission });
      const bytes = 1 + Buffer.byteLength(key) + value.length;
      expect(measureRecordBytes({ type: 'submission', submission })).toBeGreaterThanOrEqual(bytes);
    }),
    { seed: 42, numRuns: 1000 },
  );
});

// Guards against a measure that is too small, so that the store refuses what was measured, and against one that is so
// large that progress is divided although a former version could read it whole.
test('the measure of a record is a tight upper bound of its size', () => {
  fc.assert(
    fc.property(records, (record) => {
      const { key, value } = encodeRecord(record);
      const bytes = 1 + Buffer.byteLength(key) + value.length;
      const measured = measureRecordBytes(record);
      expect(measured).toBeGreaterThanOrEqual(bytes);
      expect(measured).toBeLessThanOrEqual(bytes * (1 + maxExcessShare) + maxExcessBytes);
    }),
    { seed: 42, numRuns: 1000 },
  );
});
