import { expect, test } from '@jest/globals';
import { decodeLogPage } from '../../platform/decodeLogPage.js';
import { encodeLogRecords } from '../../platform/encodeLogRecords.js';

const buildHeader = (endOffset: number): Buffer => {
  const bytes = Buffer.alloc(16);
  bytes.writeBigUInt64BE(BigInt(endOffset), 0);
  return bytes;
};

// Guards against record boundaries that differ between the encoder and the decoder.
test('encoded records are decoded', () => {
  const records = [
    { key: 's/1', value: Buffer.from('abc') },
    { key: 'p/1', value: Buffer.alloc(0) },
  ];
  const page = decodeLogPage(Buffer.concat([buildHeader(7), encodeLogRecords(records)]));
  expect(page.endOffset).toBe(7);
  expect(page.records.map(({ key, value }) => [key, value.toString()])).toEqual([
    ['s/1', 'abc'],
    ['p/1', ''],
  ]);
});

// Guards against an exception for an empty page.
test('page without records is decoded', () => {
  expect(decodeLogPage(buildHeader(3))).toEqual({ endOffset: 3, records: [] });
});
