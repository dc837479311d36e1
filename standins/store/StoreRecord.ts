/** A keyed record; an empty value deletes the key. */
export interface StoreRecord {
  key: string;
  value: Buffer;
}
