import { startTaskWorker } from './startTaskWorker.js';

/** The running worker. */
export const main = startTaskWorker(process.argv);
