import type { StoreRecord } from './StoreRecord.js';

/** Decodes the body of an append: records, each behind its length, with their keys. */
export const decodeAppend = (body: Buffer): StoreRecord[] => {
  const records: StoreRecord[] = [];
  for (let at = 0; at + 5 <= body.length;) {
    const bytes = body.readUInt32BE(at);
    const keyEnd = at + 5 + body.readUInt8(at + 4);
    records.push({
      key: body.toString('utf8', at + 5, keyEnd),
      value: body.subarray(keyEnd, at + 4 + bytes),
    });
    at += 4 + bytes;
  }
  return records;
};
