import type { RelayConnection } from './RelayConnection.js';
import type { RelayFaults } from './RelayFaults.js';

/** State of the relay. */
export interface RelayState {
  faults: RelayFaults;
  connections: Map<string, RelayConnection>;
}
