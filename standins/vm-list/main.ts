import { startVmList } from './startVmList.js';

/** The running VM list. */
export const main = startVmList(process.argv);
