import { expect, test } from '@jest/globals';
import { isLead } from '../../../src/core/ownership/isLead.js';
import { answerLeaseCalls } from '../../fixtures/answerLeaseCalls.js';
import { findEffects } from '../../fixtures/findEffects.js';
import { makeDaemon } from '../../fixtures/makeDaemon.js';
import { makeSnapshotEvent } from '../../fixtures/makeSnapshotEvent.js';
import { makeWorkerReport } from '../../fixtures/makeWorkerReport.js';

const drainedIds = ['d1', 'd2', 'd3', 'd4', 'd5'];
const undrainedIds = ['w1', 'w2', 'w3', 'w4'];

const makeScheduler = (workerIds: string[]) => {
  const daemon = makeDaemon('scheduler', 'vm-2');
  daemon.push(makeSnapshotEvent(0, []));
  const event = makeSnapshotEvent(1, workerIds);
  if (event.type !== 'settingsTree') throw new Error('expected a settings tree');
  Object.entries(event.snapshot.tree.zones['zone-a']!.workers).forEach(([id, worker]) => {
    worker.drained = drainedIds.includes(id);
  });
  daemon.push(event);
  return daemon;
};

/** Takes over the zone: drained workers never had a holder, the others had another scheduler. */
const takeOver = (workerIds: string[]) => {
  const daemon = makeScheduler(workerIds);
  const effects = daemon.push({ type: 'tick' });
  const probes = findEffects(effects, 'callWorker');
  const [drained, undrained] = [true, false].map((isDrained) =>
    probes.filter(({ workerId }) => drainedIds.includes(workerId) === isDrained),
  );
  answerLeaseCalls(daemon, drained!, makeWorkerReport(null, 10_000));
  answerLeaseCalls(daemon, undrained!, makeWorkerReport('vm-1/x', 10_000));
  daemon.push({ type: 'tick' });
  return daemon;
};

// Guards against a request with an idempotency key that runs twice: a new lead without the keys of
// the former one must refuse such requests.
test('takeover without key memory refuses keyed requests', () => {
  const daemon = takeOver(undrainedIds);
  expect(isLead(daemon.state, 1000)).toBe(true);
  expect(daemon.state.routing.keysRefusedUntil).toBeGreaterThan(1000);
});

// Guards against the same if drained workers, which nobody held before, outnumber the others.
test('drained workers do not stand for key memory', () => {
  const daemon = takeOver([...undrainedIds, ...drainedIds]);
  expect(isLead(daemon.state, 1000)).toBe(true);
  expect(daemon.state.routing.keysRefusedUntil).toBeGreaterThan(1000);
});
