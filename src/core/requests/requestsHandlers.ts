import type { HandlerTable } from '../HandlerTable.js';

/** Handlers of the requests feature. */
export const requestsHandlers: HandlerTable = {};
