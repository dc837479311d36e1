import type { EncodedRecord } from '../../../src/adapters/journal/EncodedRecord.js';
import type { StreamName } from '../../../src/control/streams/StreamName.js';

interface StoredRecord extends EncodedRecord {
  /** A record of a stream that the platform writes, as the adapter decodes it. */
  decoded?: unknown;
}

interface FakeReader {
  from: number;
  until: number;
  answer: () => void;
}

/** The store of the fake platform. */
export interface FakeStore {
  streams: Record<StreamName, StoredRecord[]>;
  readers: Record<StreamName, FakeReader[]>;
  epoch: number;
  sequence: number;
  /** Answer to the last fenced append, for a repeat. */
  lastAnswer: { offset: number; end: number };
  /** Refuses every call. */
  down: boolean;
  /** Share of appends that are done and not answered. */
  lostShare: number;
}
