import { startRelay } from './startRelay.js';

/** The running relay. */
export const main = startRelay(process.argv);
