import type { FakeVm } from './FakeVm.js';
import type { FakePlatform } from './FakePlatform.js';

/** Finds the leader; if several VMs lead, the one with the highest fencing token. */
export const findLeader = (platform: FakePlatform): FakeVm | undefined =>
  platform.vms
    .filter(({ up, state }) => up && state.term !== null)
    .sort((a, b) => b.state.term!.token - a.state.term!.token)[0];
