import type { StoreRecord } from './StoreRecord.js';

const headBytes = 16;

const encodeOne = ({ key, value }: StoreRecord): Buffer => {
  const keyBytes = Buffer.from(key);
  const head = Buffer.alloc(5);
  head.writeUInt32BE(1 + keyBytes.length + value.length, 0);
  head.writeUInt8(keyBytes.length, 4);
  return Buffer.concat([head, keyBytes, value]);
};

/** Encodes the answer to a read: the end, the first retained offset, then the records. */
export const encodeRead = (records: readonly StoreRecord[], from: number): Buffer => {
  const head = Buffer.alloc(headBytes);
  head.writeBigUInt64BE(BigInt(records.length), 0);
  return Buffer.concat([head, ...records.slice(from).map(encodeOne)]);
};
