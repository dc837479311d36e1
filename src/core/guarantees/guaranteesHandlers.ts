import type { HandlerTable } from '../HandlerTable.js';

/** Handlers of the guarantees feature. */
export const guaranteesHandlers: HandlerTable = {};
