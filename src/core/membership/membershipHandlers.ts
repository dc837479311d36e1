import type { HandlerTable } from '../HandlerTable.js';

/** Handlers of the membership feature. */
export const membershipHandlers: HandlerTable = {};
