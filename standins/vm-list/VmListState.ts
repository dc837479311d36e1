import type { VmState } from './VmState.js';

/** State of the VM list. */
export interface VmListState {
  /** Delay before the list shows a change. */
  lagMs: number;
  /** Answers every call except fault control with 503. */
  outage: boolean;
  shown: Map<string, VmState>;
  /** Changes that are not shown yet, oldest first; a null state removes the VM. */
  pending: { dueAt: number; id: string; state: VmState | null }[];
}
