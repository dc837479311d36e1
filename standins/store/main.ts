import { startStore } from './startStore.js';

/** The running store. */
export const main = startStore(process.argv);
