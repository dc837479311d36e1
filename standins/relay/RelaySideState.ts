import type { RelayDelivery } from './RelayDelivery.js';

/** One side of a relayed connection. */
export interface RelaySideState {
  /** Sent by this side, oldest first. */
  queue: RelayDelivery[];
  /** Whether the adapter reads from this side. */
  reading: boolean;
  /** Whether this side takes no more data for now. */
  blocked: boolean;
  closed: boolean;
}
