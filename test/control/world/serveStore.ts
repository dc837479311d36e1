import { encodeRecord } from '../../../src/adapters/journal/encodeRecord.js';
import type { StreamEffect } from '../../../src/control/streams/StreamEffect.js';
import type { StreamEvent } from '../../../src/control/streams/StreamEvent.js';
import type { StreamName } from '../../../src/control/streams/StreamName.js';
import { after } from './after.js';
import { decodeStored } from './decodeStored.js';
import type { FakeVm } from './FakeVm.js';
import type { Office } from './Office.js';
import { readNewest } from './readNewest.js';

const answerMs = 5;

type Reply = (event: StreamEvent) => void;
type EffectOf<T extends StreamEffect['type']> = Extract<StreamEffect, { type: T }>;

const readStream = (office: Office, effect: EffectOf<'readStream'>, reply: Reply): void => {
  const { stream, readId, from, waitMs } = effect;
  const records = office.store.streams[stream];
  const answer = (): void => {
    const next = records.length;
    const read = Array.from({ length: Math.max(0, next - from) }, (_, index) =>
      decodeStored(office, stream, from + index),
    );
    reply({ type: 'streamRead', stream, readId, records: read, next, end: next });
  };
  if (records.length > from) {
    answer();
    return;
  }
  const reader = { from, until: office.now + waitMs, answer };
  office.store.readers[stream].push(reader);
  after(office, waitMs, () => {
    const index = office.store.readers[stream].indexOf(reader);
    if (index < 0) return;
    office.store.readers[stream].splice(index, 1);
    answer();
  });
};

const readPage = (office: Office, effect: EffectOf<'readPage'>, reply: Reply): void => {
  const { stream, readId } = effect;
  const records = readNewest(office, stream);
  const end = office.store.streams[stream].length;
  reply({ type: 'pageRead', stream, readId, records, after: null, end });
};

/** Appends a record of the platform's own, such as a registry entry. */
export const storeRecord = (
  office: Office,
  stream: StreamName,
  record: { key: string; value: Buffer; decoded?: unknown },
): void => {
  office.store.streams[stream].push(record);
  office.store.readers[stream].splice(0).forEach(({ answer }) => answer());
};

const append = (office: Office, effect: EffectOf<'append'>): StreamEvent => {
  const { appendId, stream, records, condition } = effect;
  const { store } = office;
  const stored = store.streams[stream];
  const end = stored.length;
  const fail = (reason: 'conflict' | 'fenced' | 'sequence'): StreamEvent => ({
    type: 'appendFailed',
    appendId,
    reason,
    end,
  });
  if (condition.type === 'endsAt' && condition.offset !== end) return fail('conflict');
  if (condition.type === 'fenced') {
    const fence = store.fences[stream];
    if (condition.token < fence.epoch) return fail('fenced');
    if (condition.token === fence.epoch) {
      if (condition.sequence === fence.sequence)
        return { type: 'appended', appendId, ...fence.lastAnswer };
      if (condition.sequence !== fence.sequence + 1) return fail('sequence');
    }
    fence.epoch = condition.token;
    fence.sequence = condition.sequence;
    fence.lastAnswer = { offset: end, end: end + records.length };
  }
  records.forEach((record) => storeRecord(office, stream, encodeRecord(record)));
  return { type: 'appended', appendId, offset: end, end: end + records.length };
};

const refuse = (effect: StreamEffect): StreamEvent =>
  effect.type === 'append'
    ? { type: 'appendFailed', appendId: effect.appendId, reason: 'refused', end: 0 }
    : { type: 'readFailed', stream: effect.stream, readId: effect.readId, reason: 'refused' };

const ignore = (effect: StreamEffect): StreamEvent =>
  effect.type === 'append'
    ? { type: 'appendFailed', appendId: effect.appendId, reason: 'unknown', end: 0 }
    : { type: 'readFailed', stream: effect.stream, readId: effect.readId, reason: 'unreachable' };

/** Serves one call of a VM to the store. */
export const serveStore = (office: Office, vm: FakeVm, effect: StreamEffect): void => {
  const { life } = vm;
  const reply: Reply = (event) =>
    after(office, answerMs / 2, () => {
      if (vm.life === life) office.push(vm, event);
    });
  after(office, answerMs / 2, () => {
    if (office.store.silent) {
      after(office, effect.timeoutMs, () => reply(ignore(effect)));
      return;
    }
    if (office.store.down || vm.cutFromStore) {
      reply(refuse(effect));
      return;
    }
    if (effect.type === 'readStream') readStream(office, effect, reply);
    else if (effect.type === 'readPage') readPage(office, effect, reply);
    else {
      const answer = append(office, effect);
      if (office.random() >= office.store.lostShare) reply(answer);
      else {
        after(office, effect.timeoutMs, () =>
          reply({ type: 'appendFailed', appendId: effect.appendId, reason: 'unknown', end: 0 }),
        );
      }
    }
  });
};
