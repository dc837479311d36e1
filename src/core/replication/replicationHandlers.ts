import type { HandlerTable } from '../HandlerTable.js';

/** Handlers of the replication feature. */
export const replicationHandlers: HandlerTable = {};
