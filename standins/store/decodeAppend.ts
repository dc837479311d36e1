import type { StoreRecord } from './StoreRecord.js';

/** Decodes the body of an append: length-prefixed records with their keys. */
export const decodeAppend = (body: Buffer): StoreRecord[] => {
  const records: StoreRecord[] = [];
  for (let position = 0; position + 5 <= body.length;) {
    const recordBytes = body.readUInt32BE(position);
    const keyEnd = position + 5 + body.readUInt8(position + 4);
    records.push({
      key: body.toString('utf8', position + 5, keyEnd),
      value: body.subarray(keyEnd, position + 4 + recordBytes),
    });
    position += 4 + recordBytes;
  }
  return records;
};
