import type { TickEvent } from '../shared/TickEvent.js';
import type { RelayFaults } from './RelayFaults.js';
import type { RelaySide } from './RelaySide.js';

/** Events of the relay. */
export type RelayEvent =
  | TickEvent
  | { type: 'connectionOpened'; connectionId: string }
  | { type: 'dataRead'; connectionId: string; side: RelaySide; data: Buffer }
  | { type: 'sideEnded'; connectionId: string; side: RelaySide }
  | { type: 'sideClosed'; connectionId: string; side: RelaySide; failed: boolean }
  /** `writeBlocked`: the side accepts no more data until `writeDrained`. */
  | { type: 'writeBlocked' | 'writeDrained'; connectionId: string; side: RelaySide }
  | { type: 'faultsRequested'; requestId: string; faults: Partial<RelayFaults> };
