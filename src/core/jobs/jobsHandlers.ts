import type { HandlerTable } from '../HandlerTable.js';

/** Handlers of the jobs feature. */
export const jobsHandlers: HandlerTable = {};
