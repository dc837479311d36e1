import type { TickEvent } from '../shared/TickEvent.js';
import type { VmState } from './VmState.js';

/** Events of the VM list. */
export type VmListEvent =
  | TickEvent
  | { type: 'listRequested'; requestId: string }
  /** `state` is null for a VM that is removed. */
  | { type: 'changeRequested'; requestId: string; id: string; state: VmState | null }
  | { type: 'faultsRequested'; requestId: string; outage: boolean };
