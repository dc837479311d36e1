import type { VmState } from './VmState.js';

/** State of the VM list. */
export interface VmListState {
  lagMs: number;
  /** Answers 503 to everything but the fault controls. */
  outage: boolean;
  shown: Map<string, VmState>;
  /** Changes that are not shown yet, oldest first; null removes the VM. */
  pending: { dueAt: number; id: string; state: VmState | null }[];
}
