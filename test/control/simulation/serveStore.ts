import type { EncodedRecord } from '../../../src/adapters/journal/EncodedRecord.js';
import { encodeRecord } from '../../../src/adapters/journal/encodeRecord.js';
import type { StreamEffect } from '../../../src/control/streams/StreamEffect.js';
import type { StreamEvent } from '../../../src/control/streams/StreamEvent.js';
import type { StreamName } from '../../../src/control/streams/StreamName.js';
import { scheduleAfter } from './scheduleAfter.js';
import { decodeStoredRecord } from './decodeStoredRecord.js';
import type { FakeVm } from './FakeVm.js';
import type { FakePlatform } from './FakePlatform.js';
import { listNewestRecords } from './listNewestRecords.js';

const roundTripMs = 5;
// An append without answer is applied this long after its timeout.
const minLateAppendMs = 500;
const maxLateAppendMs = 3000;
// Length of the key, which precedes it in the record.
const keyHeaderBytes = 1;
// Length of the record, which precedes it in the append.
const lengthBytes = 4;

type Reply = (event: StreamEvent) => void;
type EffectOf<T extends StreamEffect['type']> = Extract<StreamEffect, { type: T }>;

/** Answers with the records from an offset on; waits for the first one if there are none yet. */
const readStream = (
  platform: FakePlatform,
  vm: FakeVm,
  effect: EffectOf<'readStream'>,
  reply: Reply,
): void => {
  const { stream, readId, fromOffset, waitMs } = effect;
  if (stream === 'journal' && platform.store.expiredReaderIds.delete(vm.id)) {
    reply({ type: 'readFailed', stream, readId, reason: 'expired' });
    return;
  }
  const records = platform.store.streams[stream];
  const answer = (): void => {
    const endOffset = records.length;
    const decoded = Array.from({ length: Math.max(0, endOffset - fromOffset) }, (_, index) =>
      decodeStoredRecord(platform, stream, fromOffset + index),
    );
    reply({
      type: 'streamRead',
      stream,
      readId,
      records: decoded,
      nextOffset: endOffset,
      endOffset,
    });
  };
  if (records.length > fromOffset) {
    answer();
    return;
  }
  const pendingRead = { fromOffset, expiresAt: platform.now + waitMs, answer };
  platform.store.pendingReads[stream].push(pendingRead);
  scheduleAfter(platform, waitMs, () => {
    const index = platform.store.pendingReads[stream].indexOf(pendingRead);
    if (index < 0) return;
    platform.store.pendingReads[stream].splice(index, 1);
    answer();
  });
};

type KeyedRecord = ReturnType<typeof listNewestRecords>[number];

const compareKeys = (a: KeyedRecord, b: KeyedRecord): number => {
  if (a.key === b.key) return 0;
  return a.key < b.key ? -1 : 1;
};

/** Answers with the newest records by key, in key order if they come in pages; records may be appended between two pages. */
const readPage = (platform: FakePlatform, effect: EffectOf<'readPage'>, reply: Reply): void => {
  const { stream, readId, afterKey } = effect;
  const { pageSize, streams } = platform.store;
  const newest = listNewestRecords(platform, stream).filter(
    ({ key }) => afterKey === null || key > afterKey,
  );
  if (Number.isFinite(pageSize)) newest.sort(compareKeys);
  const page = newest.slice(0, pageSize);
  reply({
    type: 'pageRead',
    stream,
    readId,
    records: page.map(({ record }) => record),
    afterKey: newest.length > page.length ? page.at(-1)!.key : null,
    endOffset: streams[stream].length,
  });
};

/** Appends a record without conditions, as the platform does for a registry entry. */
export const storeRecord = (
  platform: FakePlatform,
  stream: StreamName,
  record: { key: string; value: Buffer; decoded?: unknown },
): void => {
  platform.store.streams[stream].push(record);
  platform.store.pendingReads[stream].splice(0).forEach(({ answer }) => answer());
};

const measureRecordBytes = ({ key, value }: EncodedRecord): number =>
  keyHeaderBytes + Buffer.byteLength(key) + value.length;

/** Whether a record is longer than the store takes, or all of them together are. */
const isTooLarge = (
  { storeLimits: { maxRecordBytes, maxCallBytes } }: FakePlatform,
  records: readonly EncodedRecord[],
): boolean => {
  const sizes = records.map(measureRecordBytes);
  const total = sizes.reduce((sum, bytes) => sum + lengthBytes + bytes, 0);
  return total > maxCallBytes || sizes.some((bytes) => bytes > maxRecordBytes);
};

/** Appends the records if the condition of the call holds; a repeated fenced append gets its first answer. */
const append = (platform: FakePlatform, effect: EffectOf<'append'>): StreamEvent => {
  const { appendId, stream, records, condition } = effect;
  const { store } = platform;
  const stored = store.streams[stream];
  const end = stored.length;
  const encoded = records.map(encodeRecord);
  const fail = (reason: 'conflict' | 'fenced' | 'sequence' | 'invalid'): StreamEvent => ({
    type: 'appendFailed',
    appendId,
    reason,
    endOffset: end,
  });
  if (isTooLarge(platform, encoded) || encoded.some(store.refusesRecord)) return fail('invalid');
  if (condition.type === 'endsAt' && condition.offset !== end) return fail('conflict');
  if (condition.type === 'fenced') {
    const fence = store.fences[stream];
    if (condition.token < fence.token) return fail('fenced');
    if (condition.token === fence.token) {
      if (condition.sequence === fence.sequence)
        return { type: 'appended', appendId, ...fence.lastAnswer };
      if (condition.sequence !== fence.sequence + 1) return fail('sequence');
    }
    fence.token = condition.token;
    fence.sequence = condition.sequence;
    fence.lastAnswer = { offset: end, endOffset: end + records.length };
  }
  encoded.forEach((record) => storeRecord(platform, stream, record));
  return { type: 'appended', appendId, offset: end, endOffset: end + records.length };
};

/** Leaves an append unanswered and applies it after its timeout, if its condition still holds. */
const appendLate = (
  platform: FakePlatform,
  effect: EffectOf<'append'>,
  replyTimeout: () => void,
): void => {
  const lateMs = minLateAppendMs + platform.random() * (maxLateAppendMs - minLateAppendMs);
  scheduleAfter(platform, effect.timeoutMs, replyTimeout);
  scheduleAfter(platform, effect.timeoutMs + lateMs, () => append(platform, effect));
};

const isAppendedLate = ({ store, random }: FakePlatform, effect: EffectOf<'append'>): boolean =>
  effect.condition.type === 'none' && store.lateAppendShare > 0 && random() < store.lateAppendShare;

/** How much later than usual the store answers a read of the VM. */
const getReadDelayMs = ({ store }: FakePlatform, vm: FakeVm, effect: StreamEffect): number => {
  const lateRead = store.lateReads.get(vm.id);
  return effect.type !== 'append' && lateRead?.stream === effect.stream ? lateRead.delayMs : 0;
};

const buildRefusal = (effect: StreamEffect): StreamEvent =>
  effect.type === 'append'
    ? { type: 'appendFailed', appendId: effect.appendId, reason: 'refused', endOffset: 0 }
    : { type: 'readFailed', stream: effect.stream, readId: effect.readId, reason: 'refused' };

const buildTimeout = (effect: StreamEffect): StreamEvent =>
  effect.type === 'append'
    ? { type: 'appendFailed', appendId: effect.appendId, reason: 'unknown', endOffset: 0 }
    : { type: 'readFailed', stream: effect.stream, readId: effect.readId, reason: 'unreachable' };

/** Serves a store call of a VM. */
export const serveStore = (platform: FakePlatform, vm: FakeVm, effect: StreamEffect): void => {
  const { incarnation } = vm;
  const reply: Reply = (event) =>
    scheduleAfter(platform, roundTripMs / 2 + getReadDelayMs(platform, vm, effect), () => {
      if (vm.incarnation === incarnation) platform.push(vm, event);
    });
  scheduleAfter(platform, roundTripMs / 2, () => {
    if (platform.store.unresponsive || platform.cutIds.has(vm.id)) {
      scheduleAfter(platform, effect.timeoutMs, () => reply(buildTimeout(effect)));
      return;
    }
    const isRefusedRead = effect.type !== 'append' && platform.store.refusedReaderIds.has(vm.id);
    if (platform.store.refusing || vm.partitionedFromStore || isRefusedRead) {
      reply(buildRefusal(effect));
      return;
    }
    if (effect.type === 'readStream') readStream(platform, vm, effect, reply);
    else if (effect.type === 'readPage') readPage(platform, effect, reply);
    else if (isAppendedLate(platform, effect)) {
      appendLate(platform, effect, () => reply(buildTimeout(effect)));
    } else {
      const answer = append(platform, effect);
      if (platform.random() >= platform.store.lostAnswerShare) reply(answer);
      else {
        scheduleAfter(platform, effect.timeoutMs, () => reply(buildTimeout(effect)));
      }
    }
  });
};
