/** A record as the store keeps it; an empty value deletes the key. */
export interface EncodedRecord {
  key: string;
  value: Buffer;
}
