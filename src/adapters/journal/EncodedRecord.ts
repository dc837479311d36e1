/** A journal record as the store keeps it: its key, and its value or nothing to drop the key. */
export interface EncodedRecord {
  key: string;
  value: Buffer;
}
