import { expect, test } from '@jest/globals';
import type { Effect } from '../../../src/core/Effect.js';
import type { NodeId } from '../../../src/core/NodeId.js';
import type { UsageRecord } from '../../../src/core/usage/UsageRecord.js';
import type { UntimedEvent } from '../../../src/core/UntimedEvent.js';
import { hasUnstoredRecords } from '../../../src/core/usage/hasUnstoredRecords.js';
import { findEffects, findMessages } from '../../fixtures/findEffects.js';
import { makeRecorder } from '../../fixtures/makeRecorder.js';

const tick: UntimedEvent = { type: 'tick' };

const makeRecord = (id: string): UsageRecord => ({
  ...{ kind: 'requests', id, workspace: 'x', wall: 0 },
  ...{ answered: 1, failed: 0, unknown: 0, busyMs: 5 },
});

const makeBatch = (batchId: string, ...ids: string[]): UntimedEvent => ({
  type: 'usageRecords',
  from: 'vm-1/scheduler',
  batchId,
  records: ids.map(makeRecord),
});

/** Creates a recorder whose membership state lists linked peers, without link events. */
const makeLinkedRecorder = (...nodes: [NodeId, string][]): ReturnType<typeof makeRecorder> => {
  const recorder = makeRecorder();
  nodes.forEach(([node, zone]) => {
    recorder.state.membership.peers.set(node, { node, zone, linked: true, lastHeardAt: 0 });
  });
  return recorder;
};

const findUsageAppends = (effects: Effect[]) =>
  findEffects(effects, 'appendLog').filter(({ stream }) => stream !== 'settings');

const listRecordIds = (append: ReturnType<typeof findUsageAppends>[number] | undefined): string[] =>
  (append?.records as UsageRecord[]).map(({ id }) => id);

// Guards against records that their sender drops while neither the log nor another VM has them.
test('batch is reported stored once its copy is acknowledged', () => {
  const { state, push } = makeLinkedRecorder(
    ['vm-2/recorder', 'zone-b'],
    ['vm-3/recorder', 'zone-a'],
  );
  const copies = findMessages(push(makeBatch('b1', 'u1')), 'usageReplica');
  expect(copies).toMatchObject([{ to: 'vm-3/recorder', batchId: 'b1' }]);
  expect(hasUnstoredRecords(state.usage)).toBe(true);
  const ack = { type: 'usageReplicaAck', from: 'vm-3/recorder', batchId: 'b1' } as const;
  const stored = [{ type: 'usageStored', batchId: 'b1', to: 'vm-1/scheduler' }];
  expect(findMessages(push(ack), 'usageStored')).toEqual(stored);
  expect(hasUnstoredRecords(state.usage)).toBe(false);
  // The sender missed the answer and sends the batch again.
  const again = push(makeBatch('b1', 'u1'));
  expect(findMessages(again, 'usageStored')).toEqual(stored);
  const append = findUsageAppends(push(tick))[0]!;
  expect(listRecordIds(append)).toEqual(['u1']);
  const { appendId, stream } = append;
  const done = push({ type: 'logAppended', appendId, stream, firstOffset: 0 });
  expect(findMessages(done, 'usageDurable')).toMatchObject([{ to: 'vm-3/recorder' }]);
  expect(state.usage.heldBatches.size).toBe(0);
});

// Guards against a batch that is reported stored when only one of its streams has its records.
test('uncopied batch is reported stored once both streams have it', () => {
  const { push } = makeRecorder();
  const ended = { kind: 'jobEnded', id: 'j1/ended', jobId: 'j1', state: 'finished' } as const;
  const from = 'vm-1/scheduler' as const;
  push({ type: 'usageRecords', from, batchId: 'b1', records: [makeRecord('u1'), ended] });
  const stored = findUsageAppends(push(tick)).map(({ appendId, stream }) =>
    findMessages(
      push({ type: 'logAppended', appendId, stream, firstOffset: 0 }),
      'usageStored',
    ).map(({ batchId }) => [stream, batchId]),
  );
  expect(stored).toEqual([[], [['jobs', 'b1']]]);
});

// Guards against records lost with a failed append, and against overloading a log that becomes
// available again.
test.each(['unknown', 'notSent'] as const)('failed append (%s) is retried in order', (outcome) => {
  const { push } = makeRecorder();
  push(makeBatch('b1', 'u1'));
  const { appendId, stream } = findUsageAppends(push(tick, 0))[0]!;
  push(makeBatch('b2', 'u2'), 10);
  // At most one append is in flight.
  expect(findUsageAppends(push(tick, 2000))).toEqual([]);
  push({ type: 'logAppendFailed', appendId, stream, outcome, error: 'e' }, 2000);
  // A late answer to an append that already failed changes nothing.
  expect(push({ type: 'logAppended', appendId, stream, firstOffset: 0 }, 2001)).toEqual([]);
  expect(findUsageAppends(push(tick, 2499))).toEqual([]);
  const second = findUsageAppends(push(tick, 2500))[0];
  expect(listRecordIds(second)).toEqual(['u1', 'u2']);
  push({ type: 'logAppendFailed', appendId: second!.appendId, stream, outcome, error: 'e' }, 2500);
  expect(findUsageAppends(push(tick, 3499))).toEqual([]);
  expect(findUsageAppends(push(tick, 3500))).toHaveLength(1);
});

// Guards against a batch that has no copy any more after the VM with its copy was lost.
test('lost copy is replaced and a late one released', () => {
  const { state, push } = makeLinkedRecorder(
    ['vm-2/recorder', 'zone-a'],
    ['vm-3/recorder', 'zone-a'],
  );
  push(makeBatch('b1', 'u1'), 0);
  expect(findMessages(push(tick, 1000), 'usageReplica')).toEqual([]);
  expect(findMessages(push(tick, 2000), 'usageReplica')).toMatchObject([{ to: 'vm-3/recorder' }]);
  push({ type: 'usageReplicaAck', from: 'vm-3/recorder', batchId: 'b1' }, 2100);
  const late = push({ type: 'usageReplicaAck', from: 'vm-2/recorder', batchId: 'b1' }, 2200);
  expect(findMessages(late, 'usageDurable')).toMatchObject([{ to: 'vm-2/recorder' }]);
  const foreign = { type: 'usageReplicaAck', from: 'vm-2/recorder', batchId: 'b0' } as const;
  // A restarted recorder must not release the only copy of a batch that it does not know.
  expect(push(foreign, 2300)).toEqual([]);
  state.membership.peers.get('vm-3/recorder')!.linked = false;
  push({ type: 'linkClosed', node: 'vm-3/recorder' }, 3000);
  expect(findMessages(push(tick, 3000), 'usageReplica')).toMatchObject([{ to: 'vm-2/recorder' }]);
});

// Guards against copies that are never released from memory.
test('every copy is released when the log has the batch', () => {
  const { push } = makeLinkedRecorder(['vm-2/recorder', 'zone-a'], ['vm-3/recorder', 'zone-a']);
  push(makeBatch('b1', 'u1'));
  const { appendId, stream } = findUsageAppends(push(tick, 2000))[0]!;
  const done = push({ type: 'logAppended', appendId, stream, firstOffset: 0 }, 2100);
  const released = findMessages(done, 'usageDurable').map(({ to }) => to);
  expect(released).toEqual(['vm-2/recorder', 'vm-3/recorder']);
});

// Guards against records that are lost with the recorder of the VM that wrote them.
test('copy is appended when its origin does not return', () => {
  const { state, push } = makeRecorder();
  const from = 'vm-2/recorder' as const;
  ['b1', 'b2', 'b3'].forEach((batchId) => {
    push({ type: 'usageReplica', from, batchId, records: [makeRecord(batchId)] });
  });
  push({ type: 'usageDurable', from, batchId: 'b1' });
  push({ type: 'linkClosed', node: from }, 1000);
  // A reopened link does not suffice: a restarted process does not know the batch.
  push({ type: 'linkOpened', node: from, zone: 'zone-a' }, 2000);
  push({ type: 'usageReplica', from, batchId: 'b3', records: [makeRecord('b3')] }, 2000);
  expect(findUsageAppends(push(tick, 10_999))).toEqual([]);
  expect(findUsageAppends(push(tick, 11_000)).map(listRecordIds)).toEqual([['b2']]);
  expect([...state.usage.replicas.keys()]).toEqual(['b3']);
});

// Guards against an outbox that drops records which the recorder never reported stored.
test('outbox resends records until they are stored', () => {
  const { state, push } = makeRecorder();
  state.self.role = 'gateway';
  const records = Array.from({ length: 501 }, (_, index) => makeRecord(`u${index}`));
  push({ type: 'usageNoted', records });
  const sent = findMessages(push(tick, 500), 'usageRecords');
  expect(sent.map((message) => [message.to, message.records.length])).toEqual([
    ['vm-1/recorder', 500],
    ['vm-1/recorder', 1],
  ]);
  push({ type: 'usageStored', from: 'vm-1/recorder', batchId: sent[0]!.batchId }, 600);
  expect(findMessages(push(tick, 2400), 'usageRecords')).toEqual([]);
  expect(findMessages(push(tick, 2500), 'usageRecords')).toMatchObject([
    { batchId: sent[1]!.batchId },
  ]);
  const gauges = findEffects(push(tick, 5000), 'gauge').filter(
    ({ name }) => name === 'unacknowledged_records',
  );
  expect(gauges).toEqual([{ type: 'gauge', name: 'unacknowledged_records', value: 1 }]);
});

// Guards against messages above the size limit, which the receiver would refuse at every attempt.
test('large records are split into several messages', () => {
  const { state, push } = makeRecorder();
  state.self.role = 'scheduler';
  const id = 'x'.repeat(100_000);
  push({ type: 'usageNoted', records: ['1', '2', '3'].map((name) => makeRecord(id + name)) });
  const sent = findMessages(push(tick, 500), 'usageRecords');
  expect(sent.map(({ records }) => records.length)).toEqual([2, 1]);
});

// Guards against a recorder that waits for a link to itself.
test('recorder stores its own records', () => {
  const { state, push } = makeRecorder();
  push({ type: 'usageNoted', records: [makeRecord('u1')] });
  const effects = [...push(tick, 500), ...push(tick, 600)];
  const { appendId, stream } = findUsageAppends(effects)[0]!;
  push({ type: 'logAppended', appendId, stream, firstOffset: 0 }, 700);
  expect(hasUnstoredRecords(state.usage)).toBe(false);
});

// Guards against an invoice computed from only a part of the stream because older records have
// expired, a read failed or a record is unreadable.
test('report reads to the end despite expiry and failures', () => {
  const { push } = makeRecorder();
  const report = { kind: 'reportUsage', workspace: 'x', fromWall: 0, toWall: 10 } as const;
  const command = { type: 'command', from: 'vm-1/gateway', requestId: 'r1' } as const;
  const findUsageRead = (effects: Effect[]) =>
    findEffects(effects, 'readLog').find(({ stream }) => stream === 'usage')!;
  const makePage = (readId: string, from: number, records: unknown[]): UntimedEvent => ({
    type: 'logRead',
    readId,
    stream: 'usage',
    records: records.map((data, index) => ({ offset: from + index, wall: 0, data })),
    nextOffset: from + records.length,
    oldestOffset: 5,
  });
  const first = findUsageRead(push({ ...command, command: report }));
  const second = findUsageRead(push(makePage(first.readId, 0, [])));
  expect(second.fromOffset).toBe(5);
  const { readId } = second;
  push({ type: 'logReadFailed', readId, stream: 'usage', error: 'e' }, 100);
  const third = findUsageRead(push(tick, 600));
  expect(third.fromOffset).toBe(5);
  const bad = { kind: 'requests', workspace: 'x' };
  const page = [makeRecord('u1'), makeRecord('u1'), { workspace: 'y' }, bad];
  const fourth = push(makePage(third.readId, 5, page), 700);
  expect(findEffects(fourth, 'log')).toMatchObject([{ code: 'usage_record_unreadable' }]);
  const done = push(makePage(findUsageRead(fourth).readId, 9, []), 800);
  const [answer] = findMessages(done, 'commandResult');
  expect(answer?.result).toMatchObject({
    ok: true,
    data: { requests: { answered: 1 }, repeatedRecords: 1, oldestOffset: 5 },
  });
  push({ ...command, requestId: 'r2', command: report }, 1000);
  expect(findMessages(push(tick, 9000), 'commandResult')).toMatchObject([
    { requestId: 'r2', result: { refusal: { reason: 'log-unavailable', outcome: 'not-run' } } },
  ]);
});
