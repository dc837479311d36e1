import { startLog } from './startLog.js';

/** The running log service. */
export const main = startLog(process.argv);
