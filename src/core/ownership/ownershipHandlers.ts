import type { HandlerTable } from '../HandlerTable.js';

/** Handlers of the ownership feature. */
export const ownershipHandlers: HandlerTable = {};
