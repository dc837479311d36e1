import type { StreamName } from '../../../src/control/streams/StreamName.js';
import type { StreamRecord } from '../../../src/control/streams/StreamRecord.js';
import { decodeStoredRecord } from './decodeStoredRecord.js';
import type { FakePlatform } from './FakePlatform.js';

/** Reads the newest record of each key of a stream of the fake store. */
export const readNewestRecords = (platform: FakePlatform, stream: StreamName): StreamRecord[] => {
  const records = platform.store.streams[stream];
  const newestOffsets = new Map(records.map(({ key }, offset) => [key, offset]));
  return [...newestOffsets.values()]
    .filter((offset) => records[offset]!.value.length > 0 || records[offset]!.decoded)
    .map((offset) => decodeStoredRecord(platform, stream, offset));
};
