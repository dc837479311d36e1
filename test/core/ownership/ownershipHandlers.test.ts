import { expect, test } from '@jest/globals';
import { isWorkerHeld } from '../../../src/core/ownership/isWorkerHeld.js';
import { isLead } from '../../../src/core/ownership/isLead.js';
import { answerLeaseCalls } from '../../fixtures/answerLeaseCalls.js';
import { findEffects } from '../../fixtures/findEffects.js';
import { makeDaemon } from '../../fixtures/makeDaemon.js';
import { makeLeaseHolder } from '../../fixtures/makeLeaseHolder.js';
import { makeWorkerReport } from '../../fixtures/makeWorkerReport.js';
import { makeSnapshotEvent } from '../../fixtures/makeSnapshotEvent.js';

const makeIdleScheduler = (workers: string[]) => {
  const daemon = makeDaemon('scheduler', 'vm-2');
  daemon.push(makeSnapshotEvent(1, workers));
  return daemon;
};

const listPurposes = (effects: Parameters<typeof findEffects>[0]): string[] =>
  findEffects(effects, 'callWorker').map(({ call }) =>
    call.kind === 'lease' ? call.purpose : call.kind,
  );

// Guards against two holders: a worker that another scheduler renewed within a lease is not free.
test('held worker is not claimed', () => {
  const daemon = makeIdleScheduler(['w1']);
  const effects = answerLeaseCalls(
    daemon,
    daemon.push({ type: 'tick' }),
    makeWorkerReport('vm-1/x', 3400),
  );
  expect(listPurposes(effects)).toEqual([]);
});

// Guards against a worker that stays without a holder after its scheduler has failed.
test('silent worker is claimed', () => {
  const daemon = makeIdleScheduler(['w1']);
  answerLeaseCalls(daemon, daemon.push({ type: 'tick' }), makeWorkerReport('vm-1/x', 3600));
  expect(isWorkerHeld(daemon.state, 'w1', 1000)).toBe(true);
});

// Guards against a claim on a restarted worker that does not know its holder, whose lease still
// runs.
test('restarted worker is not claimed before a lease has passed', () => {
  const daemon = makeIdleScheduler(['w1']);
  const effects = answerLeaseCalls(
    daemon,
    daemon.push({ type: 'tick' }),
    makeWorkerReport(null, 2900),
  );
  expect(listPurposes(effects)).toEqual([]);
});

// Guards against two holders: another scheduler claimed the worker between the probe and the claim.
test('claim fails when the report names another holder', () => {
  const daemon = makeIdleScheduler(['w1']);
  const [probe] = findEffects(daemon.push({ type: 'tick' }), 'callWorker');
  const answer = daemon.push({
    type: 'leaseAnswered',
    workerId: 'w1',
    purpose: 'probe',
    sentAt: 1000,
    report: makeWorkerReport('vm-1/x', 4000),
  });
  expect(probe!.workerId).toBe('w1');
  answerLeaseCalls(daemon, answer, makeWorkerReport('vm-3/y', 20));
  expect(isWorkerHeld(daemon.state, 'w1', 1000)).toBe(false);
});

// Guards against a resumed process that acts on leases which lapsed while it was paused.
test('paused holder drops its workers', () => {
  const daemon = makeLeaseHolder(['w1', 'w2']);
  expect(isLead(daemon.state, 1000)).toBe(true);
  daemon.advance(3000);
  const grant = daemon.push({
    type: 'grantRequest',
    from: 'vm-1/gateway',
    requestId: 'r1',
    attempt: 1,
    workspace: 'toys',
    requestClass: 'c',
    idempotent: true,
    timeoutMs: 1000,
    avoid: [],
  });
  expect(findEffects(grant, 'send').map(({ message }) => message)).toMatchObject([
    { type: 'refuseGrant', refusal: { reason: 'not-holder', outcome: 'not-run' } },
  ]);
  const effects = daemon.push({ type: 'tick' });
  expect(findEffects(effects, 'count')).toContainEqual({ type: 'count', name: 'lease_lapsed' });
});

// Guards against a late answer that revives a lapsed lease without a new claim.
test('late renewal does not revive a lapsed lease', () => {
  const daemon = makeLeaseHolder(['w1']);
  daemon.advance(1000);
  daemon.push({ type: 'tick' });
  daemon.advance(2000);
  daemon.push({
    type: 'leaseAnswered',
    workerId: 'w1',
    purpose: 'renew',
    sentAt: 2000,
    report: makeWorkerReport('vm-1/i1', 1000),
  });
  expect(isWorkerHeld(daemon.state, 'w1', 4000)).toBe(false);
});

// Guards against a shutdown after which workers stay unclaimed until their leases lapse.
test('shutdown releases every worker', () => {
  const daemon = makeLeaseHolder(['w1', 'w2']);
  const effects = daemon.push({ type: 'shutdownRequested' });
  expect(listPurposes(effects)).toEqual(['release', 'release']);
  expect(isLead(daemon.state, 1000)).toBe(false);
});

// Guards against two leads, each of which holds one half of the workers.
test('lead needs more than half of the registered workers', () => {
  const daemon = makeLeaseHolder(['w1', 'w2']);
  daemon.push(makeSnapshotEvent(2, ['w1', 'w2', 'w3', 'w4']));
  expect(isLead(daemon.state, 1000)).toBe(false);
});

// Guards against two holders: an unsuccessful claim leaves its scheduler's name at the worker.
test('own name as last holder does not free a worker', () => {
  const daemon = makeIdleScheduler(['w1']);
  const effects = answerLeaseCalls(
    daemon,
    daemon.push({ type: 'tick' }),
    makeWorkerReport('vm-2/i1', 900),
  );
  expect(listPurposes(effects)).toEqual([]);
});

// Guards against a lead that takes its keys for complete although another scheduler held the worker
// in between: a delayed renewal of this process has overwritten that holder's name.
test('late renewal does not prove sole holding', () => {
  const daemon = makeLeaseHolder(['w1']);
  expect(daemon.state.ownership.leases.get('w1')!.soleHolder).toBe(true);
  daemon.advance(20_000);
  const effects = daemon.push({ type: 'tick' });
  answerLeaseCalls(daemon, effects, makeWorkerReport('vm-1/i1', 4000));
  expect(isWorkerHeld(daemon.state, 'w1', 21_000)).toBe(true);
  expect(daemon.state.ownership.leases.get('w1')!.soleHolder).toBe(false);
});

// Guards against a late renewal followed by a late release, which free a worker of its next holder.
test('worker with an unanswered renewal is not released', () => {
  const daemon = makeLeaseHolder(['w1']);
  daemon.advance(1000);
  expect(listPurposes(daemon.push({ type: 'tick' }))).toEqual(['renew']);
  expect(listPurposes(daemon.push({ type: 'shutdownRequested' }))).toEqual([]);
  expect(isWorkerHeld(daemon.state, 'w1', 2000)).toBe(false);
});
