import { decodeRecord } from '../../../src/adapters/journal/decodeRecord.js';
import type { StreamName } from '../../../src/control/streams/StreamName.js';
import type { StreamRecord } from '../../../src/control/streams/StreamRecord.js';
import type { FakePlatform } from './FakePlatform.js';

/** Decodes a record of the fake store. */
export const decodeStoredRecord = (
  platform: FakePlatform,
  stream: StreamName,
  offset: number,
): StreamRecord => {
  const stored = platform.store.streams[stream][offset]!;
  if (stored.decoded) return { ...(stored.decoded as StreamRecord), offset };
  // Records of the platform are stored decoded, so this one is of a stream that daemons write.
  const decoded = decodeRecord(stored, stream as 'journal' | 'runs' | 'claims');
  return decoded ? { ...decoded, offset } : { type: 'unreadable', key: stored.key, offset };
};
