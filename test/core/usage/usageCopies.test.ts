import { expect, test } from '@jest/globals';
import type { Effect } from '../../../src/core/Effect.js';
import { findMessages } from '../../fixtures/findEffects.js';
import { makeDaemon, type TestDaemon } from '../../fixtures/makeDaemon.js';
import { makeUsageRecord } from '../../fixtures/makeUsageRecord.js';

const peer = 'vm-2/scheduler';
const recorder = 'vm-1/recorder';

const makeLinkedScheduler = (): TestDaemon => {
  const daemon = makeDaemon('scheduler');
  daemon.push({ type: 'linkOpened', node: peer, zone: 'zone-a' });
  return daemon;
};

const tickUsage = (daemon: TestDaemon): Effect[] => {
  daemon.advance(500);
  return daemon.push({ type: 'tick' });
};

const startRecord = makeUsageRecord('taskStarted', 't1', { wall: 1000 });

// Guards against records that are lost with a VM that ran both the scheduler and the recorder.
test('records of a lost scheduler are stored by its peer', () => {
  const daemon = makeLinkedScheduler();
  daemon.push({
    type: 'usageCopy',
    from: peer,
    sequence: 1,
    records: [startRecord],
    storedBefore: 1,
  });
  expect(daemon.state.usage.unsentRecords).toEqual([]);
  daemon.push({ type: 'linkClosed', node: peer });
  expect(daemon.state.usage.unsentRecords).toEqual([startRecord]);
});

// Guards against copies that grow without bound although the recorder stores the records.
test('stored records are dropped by the peer', () => {
  const daemon = makeLinkedScheduler();
  daemon.push({
    type: 'usageCopy',
    from: peer,
    sequence: 1,
    records: [startRecord],
    storedBefore: 1,
  });
  daemon.push({ type: 'usageCopy', from: peer, sequence: 1, records: [], storedBefore: 2 });
  daemon.push({ type: 'linkClosed', node: peer });
  expect(daemon.state.usage.unsentRecords).toEqual([]);
});

// Guards against a peer that keeps copies for ever because it never learns that they are stored.
test('copies report which records are stored', () => {
  const daemon = makeLinkedScheduler();
  daemon.push({ type: 'linkOpened', node: recorder, zone: 'zone-a' });
  daemon.push({ type: 'usageNoted', records: [startRecord] });
  const first = tickUsage(daemon);
  expect(findMessages(first, 'usageCopy')).toMatchObject([
    { to: peer, sequence: 1, records: [startRecord], storedBefore: 1 },
  ]);
  const [batch] = findMessages([...first, ...tickUsage(daemon)], 'usageRecords');
  daemon.push({ type: 'usageStored', from: recorder, batchId: batch!.batchId });
  expect(findMessages(tickUsage(daemon), 'usageCopy')).toMatchObject([
    { records: [], storedBefore: 2 },
  ]);
  expect(findMessages(tickUsage(daemon), 'usageCopy')).toEqual([]);
});

// Guards against a peer that connects late and gets no copy of the records that are not stored yet.
test('new peer gets the records that are not stored', () => {
  const daemon = makeDaemon('scheduler');
  daemon.push({ type: 'usageNoted', records: [startRecord] });
  tickUsage(daemon);
  daemon.push({ type: 'linkOpened', node: peer, zone: 'zone-a' });
  expect(findMessages(tickUsage(daemon), 'usageCopy')).toMatchObject([{ records: [startRecord] }]);
});
