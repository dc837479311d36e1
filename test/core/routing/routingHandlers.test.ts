import { expect, test } from '@jest/globals';
import type { Effect } from '../../../src/core/Effect.js';
import { findMessages } from '../../fixtures/findEffects.js';
import { makeLeaseHolder } from '../../fixtures/makeLeaseHolder.js';
import { makeSnapshotEvent } from '../../fixtures/makeSnapshotEvent.js';
import { routingEvents } from '../../fixtures/routingEvents.js';

const { gateway, makeGrantRequest, makeGrantRelease, fillSlots } = routingEvents;

const listReasons = (effects: Effect[]): string[] =>
  findMessages(effects, 'refuseGrant').map(({ refusal }) => refusal.reason);

// Guards against a worker that gets more requests than it has slots.
test('worker gets no more grants than slots', () => {
  const daemon = makeLeaseHolder(['w1']);
  fillSlots(daemon, 8);
  expect(findMessages(daemon.push(makeGrantRequest('r9')), 'grant')).toEqual([]);
  const freed = daemon.push(makeGrantRelease('fill-0', 'answered'));
  expect(findMessages(freed, 'grant')).toMatchObject([{ requestId: 'r9', workerId: 'w1' }]);
});

// Guards against a request that is refused as not run at its deadline and granted afterwards.
test('deadline refuses a waiting request once', () => {
  const daemon = makeLeaseHolder(['w1']);
  fillSlots(daemon, 8);
  daemon.push(makeGrantRequest('r9', { timeoutMs: 100 }));
  daemon.advance(100);
  expect(listReasons(daemon.push({ type: 'tick' }))).toEqual(['deadline-exceeded']);
  expect(findMessages(daemon.push(makeGrantRelease('fill-0', 'answered')), 'grant')).toEqual([]);
});

// Guards against new work for a worker that only the VM list reports as leaving.
test('leaving worker gets no grant', () => {
  const daemon = makeLeaseHolder(['w1']);
  daemon.push({ type: 'vmsListed', vms: [{ id: 'w1', state: 'leaving' }] });
  expect(findMessages(daemon.push(makeGrantRequest('r1')), 'grant')).toEqual([]);
});

// Guards against running an idempotency key again during or after its first run.
test('used key is refused', () => {
  const daemon = makeLeaseHolder(['w1']);
  daemon.push(makeGrantRequest('r1', { idempotencyKey: 'k' }));
  expect(listReasons(daemon.push(makeGrantRequest('r2', { idempotencyKey: 'k' })))).toEqual([
    'key-in-progress',
  ]);
  daemon.push(makeGrantRelease('r1', 'answered'));
  expect(listReasons(daemon.push(makeGrantRequest('r3', { idempotencyKey: 'k' })))).toEqual([
    'key-already-used',
  ]);
});

// Guards against a key that stays used although its request was not run.
test('unsent attempt frees its key', () => {
  const daemon = makeLeaseHolder(['w1']);
  daemon.push(makeGrantRequest('r1', { idempotencyKey: 'k' }));
  daemon.push(makeGrantRelease('r1', 'not-sent'));
  const effects = daemon.push(makeGrantRequest('r2', { idempotencyKey: 'k' }));
  expect(findMessages(effects, 'grant')).toMatchObject([{ requestId: 'r2' }]);
});

// Guards against a new lead that grants a key again because it lacks the copy of the first grant.
test('keyed grant waits for the acknowledgement of its zone peer', () => {
  const daemon = makeLeaseHolder(['w1']);
  daemon.push({ type: 'linkOpened', node: 'vm-2/scheduler', zone: 'zone-a' });
  const effects = daemon.push(makeGrantRequest('r1', { idempotencyKey: 'k' }));
  expect(findMessages(effects, 'grant')).toEqual([]);
  const { sequence } = findMessages(effects, 'replicate').at(-1)!;
  const acknowledged = daemon.push({ type: 'replicateAck', from: 'vm-2/scheduler', sequence });
  expect(findMessages(acknowledged, 'grant')).toMatchObject([{ requestId: 'r1' }]);
});

// Guards against a lead that grants keys which an earlier lead may have granted without replicating
// them.
test('lead without key memory refuses keyed requests', () => {
  const daemon = makeLeaseHolder(['w1']);
  daemon.state.routing.keysRefusedUntil = 2000;
  expect(listReasons(daemon.push(makeGrantRequest('r1', { idempotencyKey: 'k' })))).toEqual([
    'key-memory-lost',
  ]);
});

// Guards against a worker that fails every request, so that it looks idle and gets most of the
// work.
test('repeatedly failing worker is avoided', () => {
  const daemon = makeLeaseHolder(['w1', 'w2']);
  for (let index = 0; index < 20; index += 1) {
    const [grant] = findMessages(
      daemon.push(makeGrantRequest(`f${index}`, { requestClass: `c${index}` })),
      'grant',
    );
    daemon.push(makeGrantRelease(`f${index}`, grant!.workerId === 'w1' ? 'failed' : 'answered'));
  }
  const { workerLoads } = daemon.state.routing;
  expect(workerLoads.get('w1')!.consecutiveFailures).toBe(5);
  const grants = findMessages(daemon.push(makeGrantRequest('r1')), 'grant');
  expect(grants).toMatchObject([{ workerId: 'w2' }]);
});

// Guards against avoiding healthy workers because one class of requests always fails.
test('failures of one class do not count against workers', () => {
  const daemon = makeLeaseHolder(['w1', 'w2', 'w3', 'w4']);
  for (let index = 0; index < 40; index += 1) {
    daemon.push(makeGrantRequest(`f${index}`, { requestClass: 'bad' }));
    daemon.push(makeGrantRelease(`f${index}`, 'failed'));
  }
  const failures = [...daemon.state.routing.workerLoads.values()].map(
    (load) => load.consecutiveFailures,
  );
  expect(Math.max(...failures)).toBeLessThan(5);
});

// Guards against slots that stay occupied because the failed gateway never returns its grants.
test('lost gateway frees its slots', () => {
  const daemon = makeLeaseHolder(['w1']);
  daemon.push({ type: 'linkOpened', node: gateway, zone: 'zone-a' });
  fillSlots(daemon, 8);
  daemon.push({ type: 'linkClosed', node: gateway });
  daemon.state.ownership.leases.get('w1')!.renewalSentAt = 5000;
  daemon.advance(3000);
  daemon.push({ type: 'tick' });
  expect(daemon.state.routing.grants.size).toBe(0);
});

// Guards against a burst of one workspace that delays the requests of another.
test('workspaces take turns', () => {
  const daemon = makeLeaseHolder(['w1']);
  const snapshot = makeSnapshotEvent(2, ['w1']);
  if (snapshot.type !== 'settingsTree') throw new Error('expected a settingsTree event');
  const { workspaces } = snapshot.snapshot.tree.teams['team-a']!;
  workspaces.logs = { ...workspaces.toys! };
  daemon.push(snapshot);
  fillSlots(daemon, 8);
  for (let index = 0; index < 4; index += 1) daemon.push(makeGrantRequest(`t${index}`));
  daemon.push(makeGrantRequest('l0', { workspace: 'logs' }));
  const first = daemon.push(makeGrantRelease('fill-0', 'answered'));
  const second = daemon.push(makeGrantRelease('fill-1', 'answered'));
  const granted = [...findMessages(first, 'grant'), ...findMessages(second, 'grant')];
  expect(granted.map(({ requestId }) => requestId)).toContain('l0');
});

// Guards against a copy that lists a key as both claimed and freed, so that the next lead drops it.
test('key claimed again is not listed as freed', () => {
  const daemon = makeLeaseHolder(['w1', 'w2']);
  daemon.push(makeGrantRequest('r1', { idempotencyKey: 'k' }));
  daemon.push({ type: 'linkOpened', node: 'vm-2/scheduler', zone: 'zone-a' });
  daemon.push(makeGrantRelease('r1', 'not-sent'));
  const effects = daemon.push(makeGrantRequest('r1', { idempotencyKey: 'k', attempt: 2 }));
  expect(findMessages(effects, 'replicate')).toMatchObject([
    { keys: [{ requestId: 'r1' }], freedKeys: [] },
  ]);
});

// Guards against served requests that no record accounts for because their gateway was killed.
test('lost gateway is recorded as unknown requests', () => {
  const daemon = makeLeaseHolder(['w1']);
  const loseGateway = (goodbye: boolean) => {
    daemon.state.usage.unsentRecords = [];
    daemon.push({ type: 'linkOpened', node: gateway, zone: 'zone-a' });
    if (goodbye) daemon.push({ type: 'goodbye', from: gateway });
    daemon.push({ type: 'linkClosed', node: gateway });
    return daemon.state.usage.unsentRecords;
  };
  expect(loseGateway(false)).toMatchObject([
    { kind: 'requestsUnknown', workspace: '*', gateway, fromWall: -6500, toWall: 1000 },
  ]);
  expect(loseGateway(true)).toEqual([]);
});
