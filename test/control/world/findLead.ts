import type { FakeVm } from './FakeVm.js';
import type { Office } from './Office.js';

/** The VM that leads with the highest token. */
export const findLead = (office: Office): FakeVm | undefined =>
  office.vms
    .filter(({ up, state }) => up && state.term !== null)
    .sort((a, b) => b.state.term!.token - a.state.term!.token)[0];
