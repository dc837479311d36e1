import { expect, test } from '@jest/globals';
import fc from 'fast-check';
import { decodeConfig } from '../../platform/decodeConfig.js';
import { decodeJob } from '../../platform/decodeJob.js';
import { decodeLogPage } from '../../platform/decodeLogPage.js';
import { decodeStreamRecord } from '../../platform/decodeStreamRecord.js';
import { topics } from '../../platform/topics.js';
import type { StreamName } from '../../src/control/streams/StreamName.js';

const seed = 2112;
const numRuns = 2000;
const streams = Object.keys(topics) as StreamName[];

const oddNumber = fc.oneof(
  fc.constantFrom(0, -1, 1e15, 1e308, -1e308, 2 ** 53, 65_536, 70_000, 0.5),
  fc.double({ noNaN: true, noDefaultInfinity: true }),
);
const oddValue = fc.oneof(oddNumber, fc.string(), fc.jsonValue({ maxDepth: 6 }));
const address = fc
  .tuple(fc.array(fc.integer({ min: -1, max: 400 }), { minLength: 3, maxLength: 5 }), oddNumber)
  .map(([octets, port]) => `${octets.join('.')}:${port}`);

const entry = fc.record(
  {
    service: fc.oneof(fc.string(), oddValue),
    address: fc.oneof(fc.constant('10.0.0.1:80'), address, oddValue),
    zone: fc.string(),
    state: fc.oneof(fc.constantFrom('ready', 'draining'), oddValue),
    capacity: fc.record(
      { cpu: oddNumber, mem_mb: oddNumber, gpu: oddNumber },
      { requiredKeys: [] },
    ),
    labels: fc.oneof(fc.array(fc.string()), oddValue),
    born: oddNumber,
  },
  { requiredKeys: [] },
);

const value = fc.oneof(
  fc.uint8Array({ maxLength: 200 }).map((bytes) => Buffer.from(bytes)),
  fc.oneof(entry, fc.jsonValue()).map((json) => Buffer.from(JSON.stringify(json) ?? '')),
);

// Guards against one record of another writer that stops the daemon or its reading of a stream.
test('no bytes make a stream decoder throw', () => {
  fc.assert(
    fc.property(fc.constantFrom(...streams), fc.string(), value, (stream, key, bytes) => {
      const record = decodeStreamRecord(stream, { key, value: bytes }, 3);
      expect(record.offset).toBe(3);
    }),
    { seed, numRuns },
  );
});

// Guards against an odd entry that names a worker no call can reach, or capacity that nobody has.
test('a decoded worker is within its bounds', () => {
  fc.assert(
    fc.property(entry, (json) => {
      const bytes = Buffer.from(JSON.stringify(json));
      const record = decodeStreamRecord('workers', { key: 'w', value: bytes }, 0);
      if (record.type !== 'worker' || !record.entry) return;
      const { address: decoded, capacity, incarnation } = record.entry;
      const [host = '', port = ''] = decoded.split(':');
      expect(host.split('.').every((octet) => Number(octet) >= 0 && Number(octet) <= 255)).toBe(
        true,
      );
      expect(Number(port) >= 1 && Number(port) <= 65_535).toBe(true);
      Object.values(capacity).forEach((amount) => {
        expect(amount).toBeGreaterThanOrEqual(0);
        expect(amount).toBeLessThanOrEqual(1e9);
      });
      expect(Number.isSafeInteger(incarnation)).toBe(true);
    }),
    { seed, numRuns },
  );
});

// Guards against a configuration whose numbers break the order of versions or of jobs.
test('a decoded configuration holds safe numbers', () => {
  const route = fc.record({
    name: fc.string(),
    path_prefix: fc.string(),
    service: fc.string(),
    priority: oddNumber,
    max_attempts: oddNumber,
    stretch: oddNumber,
    target_latency_ms: oddNumber,
  });
  const config = fc.record({ version: oddNumber, routes: fc.array(route, { maxLength: 2 }) });
  fc.assert(
    fc.property(config, (json) => {
      const decoded = decodeConfig(Buffer.from(JSON.stringify(json)));
      if (!decoded) return;
      expect(Number.isSafeInteger(decoded.version)).toBe(true);
      decoded.queues.forEach(({ stretch, targetLatencyMs }) => {
        expect(stretch * targetLatencyMs).toBeLessThanOrEqual(Number.MAX_SAFE_INTEGER * 1e3);
      });
    }),
    { seed, numRuns },
  );
});

// Guards against a job that keeps the daemon busy or takes its memory.
test('a decoded job is bounded', () => {
  const step = fc.record({ count: oddNumber, est_runtime_ms: oddNumber, gpu: oddNumber });
  const job = fc.record(
    {
      steps: fc.array(step, { maxLength: 3 }),
      repeat_count: oddNumber,
      interval_ms: oddNumber,
      start_at_ms: oddNumber,
    },
    { requiredKeys: ['steps'] },
  );
  fc.assert(
    fc.property(fc.oneof(job, fc.jsonValue()), (json) => {
      const definition = decodeJob(json).unwrapOr(null);
      if (!definition) return;
      const tasks = definition.steps.reduce((sum, { count }) => sum + count, 0);
      expect(tasks).toBeLessThanOrEqual(16_384);
      expect(definition.schedule?.count ?? 0).toBeLessThanOrEqual(10_000);
      definition.steps.forEach(({ estimateMs }) => expect(estimateMs).toBeLessThanOrEqual(1e12));
    }),
    { seed, numRuns },
  );
});

// Guards against one record without a key that hides the records after it for good.
test('a record without content does not hide the next one', () => {
  const header = Buffer.alloc(16);
  const empty = Buffer.alloc(4);
  const next = Buffer.from([0, 0, 0, 3, 1, 0x61, 0x62]);
  const { records } = decodeLogPage(Buffer.concat([header, empty, next]));
  expect(records).toHaveLength(2);
  expect(records[1]).toEqual({ key: 'a', value: Buffer.from('b') });
});
