import type { TickEvent } from '../shared/TickEvent.js';
import type { StoreFaults } from './StoreFaults.js';
import type { StoreRecord } from './StoreRecord.js';

interface ReadCall {
  requestId: string;
  topic: string;
  /** Address of the caller. */
  address: string;
}

/** Events of the store. */
export type StoreEvent =
  | TickEvent
  | {
      type: 'appendRequested';
      requestId: string;
      topic: string;
      records: StoreRecord[];
      /** Offset at which the topic must end, or null for any. */
      expectedEndOffset: number | null;
      /** Identity and fencing epoch of the writer, or null for an append without fencing. */
      producer: { name: string; epoch: number; sequence: number } | null;
    }
  | (ReadCall & { type: 'readRequested'; fromOffset: number; waitMs: number })
  /** `afterKey` is the last key of the previous page, or empty. */
  | (ReadCall & { type: 'newestRequested'; afterKey: string })
  /** An empty value removes the entry. */
  | { type: 'heartbeatReceived'; requestId: string; key: string; value: Buffer }
  | { type: 'faultsRequested'; requestId: string; faults: Partial<StoreFaults> };
