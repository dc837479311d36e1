import type { FakePlatform } from './FakePlatform.js';

/** Finds the index of a VM whose daemon is running, after others were killed. */
export const findUpVmIndex = ({ vms }: FakePlatform): number => vms.findIndex(({ up }) => up);
