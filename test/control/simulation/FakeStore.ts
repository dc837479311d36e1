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

/** What the store remembers of the fenced appends to a stream. */
interface FakeFence {
  epoch: number;
  sequence: number;
  /** Answer to the last fenced append, for a repeat. */
  lastAnswer: { offset: number; endOffset: number };
}

/** The store of the fake platform. */
export interface FakeStore {
  streams: Record<StreamName, StoredRecord[]>;
  pendingReads: Record<StreamName, FakeReader[]>;
  fences: Record<StreamName, FakeFence>;
  /** Refuses every call. */
  refusing: boolean;
  /** Answers nothing and does nothing. */
  unresponsive: boolean;
  /** Share of appends that are done and not answered. */
  lostAnswerShare: number;
}
