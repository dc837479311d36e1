import type { StoreRecord } from './StoreRecord.js';

const headerBytes = 16;

const encodeRecord = ({ key, value }: StoreRecord): Buffer => {
  const keyBytes = Buffer.from(key);
  const header = Buffer.alloc(5);
  header.writeUInt32BE(1 + keyBytes.length + value.length, 0);
  header.writeUInt8(keyBytes.length, 4);
  return Buffer.concat([header, keyBytes, value]);
};

/**
 * Encodes the answer to a read: the end offset, the first retained offset, then the records. The first
 * retained offset is 0, because records do not expire.
 */
export const encodeRead = (records: readonly StoreRecord[], fromOffset: number): Buffer => {
  const header = Buffer.alloc(headerBytes);
  header.writeBigUInt64BE(BigInt(records.length), 0);
  return Buffer.concat([header, ...records.slice(fromOffset).map(encodeRecord)]);
};
