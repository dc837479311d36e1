import type { HandlerTable } from '../HandlerTable.js';

/** Handlers of the settings feature. */
export const settingsHandlers: HandlerTable = {};
