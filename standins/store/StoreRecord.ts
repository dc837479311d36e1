/** A keyed record; an empty value drops its key. */
export interface StoreRecord {
  key: string;
  value: Buffer;
}
