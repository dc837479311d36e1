import type { RelayDelivery } from './RelayDelivery.js';

/** State of one side of a relayed connection. */
export interface RelaySideState {
  /** Deliveries from this side, oldest first. */
  queue: RelayDelivery[];
  /** Whether the adapter reads from this side. */
  reading: boolean;
  /** Whether this side accepts no more data for now. */
  blocked: boolean;
  closed: boolean;
}
