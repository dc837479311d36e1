import type { EncodedRecord } from '../../../src/adapters/journal/EncodedRecord.js';
import type { StreamName } from '../../../src/control/streams/StreamName.js';

interface StoredRecord extends EncodedRecord {
  /** The decoded form of a record that the platform writes. */
  decoded?: unknown;
}

/** A read that waits for records at its offset. */
interface PendingRead {
  fromOffset: number;
  /** Virtual time at which it is answered without records. */
  expiresAt: number;
  answer: () => void;
}

/** State of the fenced appends to a stream. */
interface FakeFence {
  /** Highest fencing token of an append so far. */
  token: number;
  /** Sequence number of the last append with that token. */
  sequence: number;
  /** Answer to the last fenced append, returned again for a repeated one. */
  lastAnswer: { offset: number; endOffset: number };
}

/** The store of the fake platform. */
export interface FakeStore {
  /** Records by stream; the index of a record is its offset. */
  streams: Record<StreamName, StoredRecord[]>;
  pendingReads: Record<StreamName, PendingRead[]>;
  fences: Record<StreamName, FakeFence>;
  /** Whether every call is refused. */
  refusing: boolean;
  /** Whether the store takes no append with this record, whatever the leader. */
  refusesRecord: (record: EncodedRecord) => boolean;
  /** IDs of the VMs whose reads are refused, while their appends are served. */
  refusedReaderIds: Set<string>;
  /** Whether every call is left unanswered and has no effect. */
  unresponsive: boolean;
  /** Share of appends that are applied but not answered. */
  lostAnswerShare: number;
  /** Share of unconditional appends that are unanswered and applied only after their timeout. */
  lateAppendShare: number;
  /** Stream whose reads are answered late, by the VM that reads it. */
  lateReads: Map<string, { stream: StreamName; delayMs: number }>;
  /** IDs of the VMs whose next read of the journal finds the records at its offset deleted. */
  expiredReaderIds: Set<string>;
  /** Maximum number of records in a page. */
  pageSize: number;
}
