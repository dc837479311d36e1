import type { StoreRecord } from './StoreRecord.js';

/**
 * Decodes the body of an append. Each record has 4 bytes with the length of the rest, 1 byte with the length
 * of the key, the key and the value.
 */
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
