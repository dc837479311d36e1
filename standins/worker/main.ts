import { startWorker } from './startWorker.js';

/** The running backend server. */
export const main = startWorker(process.argv);
