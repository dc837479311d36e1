import type { HandlerTable } from '../HandlerTable.js';

/** Handlers of the routing feature. */
export const routingHandlers: HandlerTable = {};
