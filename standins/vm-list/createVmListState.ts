import type { VmListState } from './VmListState.js';

/** Creates the state of a list that shows the given VMs as live. */
export const createVmListState = (lagMs: number, ids: string[]): VmListState => ({
  lagMs,
  outage: false,
  shown: new Map(ids.map((id) => [id, 'live'])),
  pending: [],
});
