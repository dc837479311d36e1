import type { StreamName } from '../../../src/control/streams/StreamName.js';
import type { StreamRecord } from '../../../src/control/streams/StreamRecord.js';
import { decodeStored } from './decodeStored.js';
import type { Office } from './Office.js';

/** Reads the newest record of each key of a stream of the fake store. */
export const readNewest = (office: Office, stream: StreamName): StreamRecord[] => {
  const records = office.store.streams[stream];
  const newest = new Map(records.map(({ key }, offset) => [key, offset]));
  return [...newest.values()]
    .filter((offset) => records[offset]!.value.length > 0 || records[offset]!.decoded)
    .map((offset) => decodeStored(office, stream, offset));
};
