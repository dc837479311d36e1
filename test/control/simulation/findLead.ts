import type { FakeVm } from './FakeVm.js';
import type { FakePlatform } from './FakePlatform.js';

/** The VM that leads with the highest token. */
export const findLead = (platform: FakePlatform): FakeVm | undefined =>
  platform.vms
    .filter(({ up, state }) => up && state.term !== null)
    .sort((a, b) => b.state.term!.token - a.state.term!.token)[0];
