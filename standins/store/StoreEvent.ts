import type { TickEvent } from '../shared/TickEvent.js';
import type { StoreFaults } from './StoreFaults.js';
import type { StoreRecord } from './StoreRecord.js';

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
  | { type: 'readRequested'; requestId: string; topic: string; fromOffset: number; waitMs: number }
  /** `afterKey` is the last key of the previous page, or empty. */
  | { type: 'newestRequested'; requestId: string; topic: string; afterKey: string }
  | { type: 'faultsRequested'; requestId: string; faults: Partial<StoreFaults> };
