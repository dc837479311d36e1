import type { HandlerTable } from '../HandlerTable.js';

/** Handlers of the usage feature. */
export const usageHandlers: HandlerTable = {};
