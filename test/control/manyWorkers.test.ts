import { expect, test } from '@jest/globals';
import { decodeRecord } from '../../src/adapters/journal/decodeRecord.js';
import { encodeRecord } from '../../src/adapters/journal/encodeRecord.js';
import { createState } from '../../src/control/createState.js';
import { applySafely } from '../../src/control/journal/applySafely.js';
import { beginTerm } from '../../src/control/lead/beginTerm.js';
import { takeSpeedRecords } from '../../src/control/progress/takeSpeedRecords.js';
import { defaultStoreLimits } from '../../src/control/settings/defaultStoreLimits.js';
import type { State } from '../../src/control/State.js';
import { getOrCreateWorker } from '../../src/control/workers/getOrCreateWorker.js';

// The fleet that docs/CAPACITY.md plans for.
const workerCount = 17_000;
const later = { at: 10_000, wall: 10_000, responsiveAt: 10_000 };

const startTerm = (): State => {
  const self = { vmId: 'vm-1', zone: 'z', cores: 1, incarnation: 'i' };
  const state = createState(self, { maxLeaseMs: 6000, statusKeepMs: 120_000, graceMs: 6000 });
  beginTerm(state, 1, { at: 0, wall: 0, responsiveAt: 0 });
  return state;
};

// Guards against the speeds of a large fleet in one record, which the store refuses: each refusal ended a term.
test('the speeds of a large fleet fit into records and reach the next leader', () => {
  const { term } = startTerm();
  Array.from({ length: workerCount }, (_, index) => {
    const worker = getOrCreateWorker(
      term!,
      `i-7f3a91${index.toString(16).padStart(8, '0')}`,
      later,
    );
    worker.logSlowdown = { mean: index / workerCount, variance: 0.001 };
    return worker;
  });
  const encoded = takeSpeedRecords(term!, later).map(encodeRecord);
  encoded.forEach(({ key, value }) =>
    expect(key.length + value.length).toBeLessThan(defaultStoreLimits.maxRecordBytes),
  );
  expect(new Set(encoded.map(({ key }) => key)).size).toBe(encoded.length);
  const successor = startTerm();
  encoded.forEach((record, offset) =>
    applySafely(successor, 'runs', { ...decodeRecord(record, 'runs')!, offset }, later),
  );
  const speeds = [...successor.term!.predecessor.speeds.values()].flat();
  expect(speeds).toHaveLength(workerCount);
});
